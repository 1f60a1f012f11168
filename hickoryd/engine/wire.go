// Package engine speaks to the model engines over HTTP. The shapes of its
// messages stay in this package.
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
	// PathLoad reports the load, with a lag.
	PathLoad = "/v1/load"
	// PathCacheEvents lists cache events after a sequence number.
	PathCacheEvents = "/v1/cache/events"
	// PathCacheSnapshot lists all cached blocks.
	PathCacheSnapshot = "/v1/cache/snapshot"
	// PathOrders takes orders.
	PathOrders = "/v1/orders"
	// PathState tells role, model, adapters and newest order.
	PathState = "/v1/state"

	// BlockTokens is the size of a cached block of a prompt.
	BlockTokens = 16

	// CodeFull says that the engine has no room for the request.
	CodeFull = "full"
	// CodeLeaving says that the engine takes no new work.
	CodeLeaving = "leaving"
	// CodeGone says that the KV cache or request does not exist any more.
	CodeGone = "gone"
	// CodeTransfer says that the KV cache could not be fetched.
	CodeTransfer = "transfer"
	// CodeFenced says that a newer order has been taken.
	CodeFenced = "fenced"
	// CodeInvalid says that the request can't be understood.
	CodeInvalid = "invalid"
	// CodeBusy says that the weight store has no rate left.
	CodeBusy = "busy"
)

type (
	// PrefillRequest asks for the KV cache of a prompt.
	PrefillRequest struct {
		RequestID string `json:"requestId"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		Priority  int    `json:"priority"` // lower goes first
	}

	// KV names a prefilled KV cache and where it is kept.
	KV struct {
		Source string `json:"source"` // address of the engine that exports it
		Handle string `json:"handle"`
		Bytes  int64  `json:"bytes"`
	}

	// PrefillReply is the result of a prefill.
	PrefillReply struct {
		KV           KV    `json:"kv"`
		PromptTokens int   `json:"promptTokens"`
		CachedTokens int   `json:"cachedTokens"`
		ExpiresInMS  int64 `json:"expiresInMs"`
	}

	// DecodeRequest asks for the tokens that follow a prompt. Without KV the
	// engine computes the prompt itself. Offset numbers the first token.
	DecodeRequest struct {
		RequestID string `json:"requestId"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		KV        *KV    `json:"kv,omitempty"`
		MaxTokens int    `json:"maxTokens"`
		Offset    int    `json:"offset"`
		Priority  int    `json:"priority"`
	}

	// ResumeRequest asks for the tokens of a running request from Offset on.
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

	// LoadReply is a load report. Incarnation names this life of the engine.
	LoadReply struct {
		Incarnation      string    `json:"incarnation"`
		UptimeMS         int64     `json:"uptimeMs"`
		ObservedAt       time.Time `json:"observedAt"`
		SlotsUsed        int       `json:"slotsUsed"`
		SlotsTotal       int       `json:"slotsTotal"`
		PrefillBacklogMS int64     `json:"prefillBacklogMs"`
		PrefillRate      float64   `json:"prefillRate"` // tokens per second
		Batch            int       `json:"batch"`       // requests of the last step
		TokenGapUS       int64     `json:"tokenGapUs"`  // of the last step
		Leaving          bool      `json:"leaving"`
	}

	// CacheEvent says that a block was stored or evicted.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Block    uint64 `json:"block"`
		Evicted  bool   `json:"evicted,omitempty"`
	}

	// CacheEventsReply lists events. Newest is the last sequence number of the
	// engine; numbers that are missing were lost.
	CacheEventsReply struct {
		Events []CacheEvent `json:"events"`
		Newest uint64       `json:"newest"`
	}

	// CacheSnapshotReply lists all cached blocks as of Sequence.
	CacheSnapshotReply struct {
		Sequence uint64   `json:"sequence"`
		Blocks   []uint64 `json:"blocks"`
	}

	// OrderRequest is an order to load something or to change role.
	OrderRequest struct {
		Fence    uint64 `json:"fence"` // fencing number
		Kind     string `json:"kind"`  // loadModel, loadAdapter, loadVersion or setRole
		Argument string `json:"argument"`
	}

	// StateReply is what an engine runs.
	StateReply struct {
		Role     string   `json:"role"`
		Model    string   `json:"model"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
		Fence    uint64   `json:"fence"`
	}

	// ErrorReply is the body of a refusal.
	ErrorReply struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
)
