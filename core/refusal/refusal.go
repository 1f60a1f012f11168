// Package refusal describes why a request failed or was refused, and whether a
// backend server may have run any of it.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// RanNo means that no byte of the call reached a backend server.
	RanNo Ran = "no"
	// RanUnknown means that the call may have been run.
	RanUnknown Ran = "unknown"
)

type (
	// Ran reports whether a refused request was run.
	Ran string

	// Kind is one reason for a refusal, with its stable code and HTTP status.
	Kind struct {
		Code   string
		Status int
	}

	// Refusal is the final response to a request that gets no response from a
	// backend server.
	Refusal struct {
		Kind       Kind
		Ran        Ran
		Message    string
		RetryAfter time.Duration // 0: a retry can't succeed
	}
)

var (
	// InvalidRequest means that the request can't be parsed or has a value out of
	// bounds.
	InvalidRequest = Kind{"invalidRequest", http.StatusBadRequest}
	// BodyTooLarge means that the body is over the profile's limit.
	BodyTooLarge = Kind{"bodyTooLarge", http.StatusRequestEntityTooLarge}
	// HeaderTooLong means that a header is over its limit.
	HeaderTooLong = Kind{"headerTooLong", http.StatusRequestHeaderFieldsTooLarge}
	// UnknownService means that no service of this name is configured.
	UnknownService = Kind{"unknownService", http.StatusNotFound}
	// UnknownModel means that no service, or more than one, serves the model.
	UnknownModel = Kind{"unknownModel", http.StatusNotFound}
	// UnknownWorkspace means that the caller's workspace is not configured.
	UnknownWorkspace = Kind{"unknownWorkspace", http.StatusForbidden}
	// MissingIdempotencyKey means that a call that may run at most once has no key.
	MissingIdempotencyKey = Kind{"missingIdempotencyKey", http.StatusBadRequest}
	// IdempotencyKeyReused means that the key was used with another body before.
	IdempotencyKeyReused = Kind{"idempotencyKeyReused", http.StatusUnprocessableEntity}
	// OutcomeUnknown means that the call may have run and its response is lost.
	OutcomeUnknown = Kind{"outcomeUnknown", http.StatusConflict}
	// Overloaded means that the request would miss its latency targets.
	Overloaded = Kind{"overloaded", http.StatusTooManyRequests}
	// Unavailable means that no server can accept the request now.
	Unavailable = Kind{"unavailable", http.StatusServiceUnavailable}
	// ShuttingDown means that this host accepts no new requests.
	ShuttingDown = Kind{"shuttingDown", http.StatusServiceUnavailable}
	// ClaimUndecided means that no host can determine now whether the call with
	// this key has run.
	ClaimUndecided = Kind{"claimUndecided", http.StatusServiceUnavailable}
	// CrashesServers means that requests like this one crash backend servers.
	CrashesServers = Kind{"crashesServers", http.StatusUnprocessableEntity}
	// BackendFailed means that a backend server failed and no retry is left.
	BackendFailed = Kind{"backendFailed", http.StatusBadGateway}
	// BackendTimeout means that a backend server did not respond in time.
	BackendTimeout = Kind{"backendTimeout", http.StatusGatewayTimeout}
)

// Kinds returns all kinds in the order of the generated reference page.
func Kinds() []Kind {
	return []Kind{
		InvalidRequest, BodyTooLarge, HeaderTooLong, UnknownService, UnknownModel, UnknownWorkspace,
		MissingIdempotencyKey, IdempotencyKeyReused, OutcomeUnknown, Overloaded, Unavailable, ShuttingDown, ClaimUndecided,
		CrashesServers, BackendFailed, BackendTimeout,
	}
}

// NotRun returns a refusal of a request that was not run.
func NotRun(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// MayHaveRun returns a refusal of a request that may have been run.
func MayHaveRun(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Ran: RanUnknown, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which the caller may retry, and returns the
// refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Message
}

// FromError returns the refusal in the chain of err, or nil.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
