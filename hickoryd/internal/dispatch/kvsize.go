package dispatch

import (
	"sync/atomic"

	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

// kvSize estimates the size of a token's KV cache from completed prefills. It
// is safe for concurrent use.
type kvSize struct {
	bytesPerToken atomic.Int64
}

func (k *kvSize) observe(reply engine.PrefillReply) {
	if reply.PromptTokens > 0 && reply.KV.Bytes > 0 {
		k.bytesPerToken.Store(reply.KV.Bytes / int64(reply.PromptTokens))
	}
}

// predict returns the predicted bytes of a prompt's KV cache, or 0 before the
// first prefill.
func (k *kvSize) predict(tokens int) int64 {
	return int64(tokens) * k.bytesPerToken.Load()
}
