package node

import (
	"context"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

// engines adapts engine.Client to dispatch.Engines, whose methods return the
// interface dispatch.TokenStream.
type engines struct {
	*engine.Client
}

// Decode implements dispatch.Engines.
func (e engines) Decode(ctx context.Context, server backend.Server, request engine.DecodeRequest) (dispatch.TokenStream, error) {
	stream, err := e.Client.Decode(ctx, server, request)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Resume implements dispatch.Engines.
func (e engines) Resume(ctx context.Context, server backend.Server, request engine.ResumeRequest) (dispatch.TokenStream, error) {
	stream, err := e.Client.Resume(ctx, server, request)
	if err != nil {
		return nil, err
	}
	return stream, nil
}
