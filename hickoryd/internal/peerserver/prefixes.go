package peerserver

import (
	"context"

	"github.com/hickoryfront/hickoryfront/peerapi"
)

// Prefixes returns which blocks of a prompt the prefill servers of this home have
// cached.
type Prefixes interface {
	Local(model string, samples []uint64) map[string]int
}

// LookupPrefix implements the Peer service.
func (s *Server) LookupPrefix(_ context.Context, request *peerapi.LookupPrefixRequest) (*peerapi.LookupPrefixResponse, error) {
	response := &peerapi.LookupPrefixResponse{}
	for id, blocks := range s.prefixes.Local(request.GetModel(), request.GetBlockHashes()) {
		response.Holders = append(response.Holders, &peerapi.PrefixHolder{ServerId: id, Blocks: uint32(blocks)})
	}
	return response, nil
}
