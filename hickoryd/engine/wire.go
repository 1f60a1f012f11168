// Package engine is the HTTP client of the model engines: the backend servers
// that run prefill and decode. Only this package defines their messages.
package engine

import "time"

const (
	// PathPrefill computes the KV cache of a prompt.
	PathPrefill = "/v1/prefill"
	// PathDecode imports a KV cache and streams tokens.
	PathDecode = "/v1/decode"
	// PathResume streams the tokens of a running request from an offset.
	PathResume = "/v1/resume"
	// PathCancel ends a request.
	PathCancel = "/v1/cancel"
	// PathRequests lists the running requests.
	PathRequests = "/v1/requests"
	// PathLoad reports the load, which lags behind.
	PathLoad = "/v1/load"
	// PathCacheEvents lists cache events after a sequence number.
	PathCacheEvents = "/v1/cache/events"
	// PathCacheSnapshot lists all cached blocks.
	PathCacheSnapshot = "/v1/cache/snapshot"
	// PathOrders takes orders: fenced commands to load a model or to change role.
	PathOrders = "/v1/orders"
	// PathState reports role, model, version, adapters and the newest fencing token.
	PathState = "/v1/state"

	// BlockTokens is the size of a cached block of a prompt, in tokens.
	BlockTokens = 16

	// CodeFull means that the engine has no free slot or memory for the request.
	CodeFull = "full"
	// CodeLeaving means that the engine is leaving and accepts no new work.
	CodeLeaving = "leaving"
	// CodeGone means that the KV cache or request no longer exists.
	CodeGone = "gone"
	// CodeTransfer means that the KV cache could not be transferred.
	CodeTransfer = "transfer"
	// CodeFenced means that the engine has accepted an order with a newer fencing
	// token.
	CodeFenced = "fenced"
	// CodeInvalid means that the request is malformed.
	CodeInvalid = "invalid"
	// CodeBusy means that the weight store has no bandwidth left.
	CodeBusy = "busy"
)

type (
	// PrefillRequest requests the KV cache of a prompt.
	PrefillRequest struct {
		RequestID string `json:"requestId"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		Priority  int    `json:"priority"` // lower values run first
	}

	// KVHandle names a prefilled KV cache and the engine that holds it.
	KVHandle struct {
		Source string `json:"source"` // address of the engine that exports it
		Handle string `json:"handle"`
		Bytes  int64  `json:"bytes"`
	}

	// PrefillReply is the result of a prefill.
	PrefillReply struct {
		KV           KVHandle `json:"kv"`
		PromptTokens int      `json:"promptTokens"`
		CachedTokens int      `json:"cachedTokens"`
		ExpiresInMS  int64    `json:"expiresInMs"`
	}

	// DecodeRequest requests the tokens that follow a prompt. Without KV the engine
	// runs the prefill itself. Offset is the number of the first token.
	DecodeRequest struct {
		RequestID string    `json:"requestId"`
		Model     string    `json:"model"`
		Prompt    string    `json:"prompt"`
		KV        *KVHandle `json:"kv,omitempty"`
		MaxTokens int       `json:"maxTokens"`
		Offset    int       `json:"offset"`
		Priority  int       `json:"priority"`
	}

	// ResumeRequest requests the tokens of a running request, starting at Offset.
	ResumeRequest struct {
		RequestID string `json:"requestId"`
		Offset    int    `json:"offset"`
	}

	// TokenEvent is one token of a stream.
	TokenEvent struct {
		Offset int    `json:"offset"`
		Text   string `json:"text"`
		Last   bool   `json:"last,omitempty"`
	}

	// CancelRequest names the request to end.
	CancelRequest struct {
		RequestID string `json:"requestId"`
	}

	// RequestInfo is one running request.
	RequestInfo struct {
		RequestID string    `json:"requestId"`
		StartedAt time.Time `json:"startedAt"`
	}

	// RequestsReply lists the running requests.
	RequestsReply struct {
		Requests []RequestInfo `json:"requests"`
	}

	// LoadReply is a load report. Incarnation identifies this process of the engine.
	LoadReply struct {
		Incarnation      string    `json:"incarnation"`
		UptimeMS         int64     `json:"uptimeMs"`
		ObservedAt       time.Time `json:"observedAt"`
		SlotsUsed        int       `json:"slotsUsed"`
		SlotsTotal       int       `json:"slotsTotal"`
		PrefillBacklogMS int64     `json:"prefillBacklogMs"`
		PrefillRate      float64   `json:"prefillRate"` // tokens per second
		Batch            int       `json:"batch"`       // requests in the last decode step
		TokenGapUS       int64     `json:"tokenGapUs"`  // of the last decode step
		Leaving          bool      `json:"leaving"`
	}

	// CacheEvent reports that a block was stored or evicted.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Block    uint64 `json:"block"`
		Evicted  bool   `json:"evicted,omitempty"`
	}

	// CacheEventsReply lists events. Newest is the last sequence number that the
	// engine has assigned; events whose numbers are missing were lost.
	CacheEventsReply struct {
		Events []CacheEvent `json:"events"`
		Newest uint64       `json:"newest"`
	}

	// CacheSnapshotReply lists all cached blocks as of Sequence.
	CacheSnapshotReply struct {
		Sequence uint64   `json:"sequence"`
		Blocks   []uint64 `json:"blocks"`
	}

	// OrderRequest is an order to load a model, an adapter or a version, or to change
	// role.
	OrderRequest struct {
		Fence    uint64 `json:"fence"` // fencing token
		Kind     string `json:"kind"`  // loadModel, loadAdapter, loadVersion or setRole
		Argument string `json:"argument"`
	}

	// StateReply describes what an engine runs and the newest fencing token that it
	// has accepted.
	StateReply struct {
		Role     string   `json:"role"`
		Model    string   `json:"model"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
		Fence    uint64   `json:"fence"`
	}

	// ErrorReply is the body of an error response.
	ErrorReply struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
)
