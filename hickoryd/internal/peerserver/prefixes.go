package peerserver

import (
	"context"

	"github.com/hickoryfront/hickoryfront/peerapi"
)

// Prefixes returns how many leading samples of a prompt's block hashes the prefill
// servers of this home probably have cached. One sample covers several blocks.
type Prefixes interface {
	LocalHits(model string, samples []uint64) map[string]int
}

// LookupPrefix implements the Peer service.
func (s *Server) LookupPrefix(_ context.Context, request *peerapi.LookupPrefixRequest) (*peerapi.LookupPrefixResponse, error) {
	response := &peerapi.LookupPrefixResponse{}
	for id, hits := range s.prefixes.LocalHits(request.GetModel(), request.GetBlockHashes()) {
		response.Holders = append(response.Holders, &peerapi.PrefixHolder{ServerId: id, Blocks: uint32(hits)})
	}
	return response, nil
}
