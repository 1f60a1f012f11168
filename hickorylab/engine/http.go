package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/prefix"
	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/internal/jsonreply"
)

const (
	kvPath          = "/kv/"
	transferTimeout = 10 * time.Second
)

type (
	// kvExport is the body of an exported KV cache.
	kvExport struct {
		Prompt string `json:"prompt"`
	}

	// Switches are faults of the engine that can be changed while it runs.
	Switches struct {
		Leaving      bool `json:"leaving"`
		Silent       bool `json:"silent"` // streams that are open now get no more data
		StallExports bool `json:"stall"`  // KV cache exports never finish
	}
)

// Handler returns the engine's HTTP handler. address is the address from which other
// engines fetch its KV caches.
func (e *Engine) Handler(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathPrefill, func(w http.ResponseWriter, r *http.Request) { e.servePrefill(w, r, address) })
	mux.HandleFunc("POST "+wire.PathDecode, e.serveDecode)
	mux.HandleFunc("POST "+wire.PathResume, e.serveResume)
	mux.HandleFunc("POST "+wire.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+wire.PathRequests, e.serveRequests)
	mux.HandleFunc("GET "+wire.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+wire.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+wire.PathCacheSnapshot, e.serveCacheSnapshot)
	mux.HandleFunc("POST "+wire.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+wire.PathState, e.serveState)
	mux.HandleFunc("GET "+kvPath+"{handle}", e.serveKV)
	mux.HandleFunc("POST /lab/switches", e.serveSwitches)
	mux.HandleFunc("GET /lab/log", func(w http.ResponseWriter, _ *http.Request) { jsonreply.Write(w, e.Log()) })
	return mux
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, address string) {
	var body wire.PrefillRequest
	if !readJSON(w, r, &body) {
		return
	}
	p, err := e.enqueuePrefill(body.RequestID, body.Prompt, body.Priority)
	if err != nil {
		writeError(w, err)
		return
	}
	select {
	case <-p.finished:
	case <-r.Context().Done():
		e.cancelRequest(body.RequestID)
		return
	}
	tokens := prefix.EstimateTokens(body.Prompt)
	jsonreply.Write(w, wire.PrefillReply{
		KV:           wire.KVHandle{Source: address, Handle: body.RequestID, Bytes: int64(tokens) * e.options.KVBytesPerToken},
		PromptTokens: tokens,
		CachedTokens: p.cached,
		ExpiresInMS:  e.options.KVLifetime.Milliseconds(),
	})
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var body wire.DecodeRequest
	if !readJSON(w, r, &body) {
		return
	}
	if body.MaxTokens < 1 {
		writeCode(w, wire.CodeInvalid, "maxTokens must be above 0")
		return
	}
	if body.KV != nil {
		if err := e.fetchKV(r.Context(), *body.KV); err != nil {
			writeError(w, err)
			return
		}
	} else if !e.prefillDirectly(r.Context(), body) {
		return
	}
	decode := &request{id: body.RequestID, prompt: body.Prompt, offset: body.Offset, maxTokens: body.MaxTokens, priority: body.Priority}
	if err := e.submit(decode); err != nil {
		writeError(w, err)
		return
	}
	e.streamTokens(w, r, decode, body.Offset)
}

// prefillDirectly waits for the time of a prefill on the decode engine. It returns
// false if the context ends first.
func (e *Engine) prefillDirectly(ctx context.Context, body wire.DecodeRequest) bool {
	tokens := max(1, prefix.EstimateTokens(body.Prompt))
	return sleep(ctx.Done(), time.Duration(tokens)*time.Second/time.Duration(e.options.PrefillRate))
}

func (e *Engine) fetchKV(ctx context.Context, kv wire.KVHandle) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+kv.Source+kvPath+url.PathEscape(kv.Handle), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("transfer: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return errGone
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("transfer: status %d", response.StatusCode)
	}
	var export kvExport
	return json.NewDecoder(response.Body).Decode(&export)
}

// serveKV exports a KV cache. Exports share the engine's link one after the other.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	e.mu.Lock()
	result, ok := e.kv[handle]
	if !ok || time.Now().After(result.expires) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	stallExports := e.stallExports
	now := time.Now()
	size := int64(prefix.EstimateTokens(result.prompt)) * e.options.KVBytesPerToken
	if e.linkBusyUntil.Before(now) {
		e.linkBusyUntil = now
	}
	e.linkBusyUntil = e.linkBusyUntil.Add(time.Duration(float64(size) / float64(e.options.LinkRate) * float64(time.Second)))
	transferEnd := e.linkBusyUntil
	result.expires = transferEnd.Add(e.options.KVLifetime) // keeps the result during the transfer
	e.mu.Unlock()
	if stallExports {
		<-r.Context().Done()
		return
	}
	if !sleep(r.Context().Done(), time.Until(transferEnd)) {
		return
	}
	e.mu.Lock()
	delete(e.kv, handle)
	e.mu.Unlock()
	jsonreply.Write(w, kvExport{Prompt: result.prompt})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var body wire.ResumeRequest
	if !readJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	decode, ok := e.requests[body.RequestID]
	e.mu.Unlock()
	if !ok || body.Offset < decode.offset {
		writeCode(w, wire.CodeGone, "request is not held")
		return
	}
	e.streamTokens(w, r, decode, body.Offset)
}

// streamTokens streams the tokens of a request, starting at an offset. The request
// continues to run if the connection is closed.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, decode *request, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	opened := time.Now()
	for {
		events, ended, changed := e.eventsFrom(decode, offset)
		for _, event := range events {
			data, err := json.Marshal(event)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
				return
			}
			offset++
		}
		flusher.Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		if e.isSilent(opened) {
			<-r.Context().Done()
			return
		}
	}
}

func (e *Engine) eventsFrom(r *request, offset int) ([]wire.TokenEvent, bool, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var events []wire.TokenEvent
	for i := max(0, offset-r.offset); i < len(r.tokens); i++ {
		events = append(events, wire.TokenEvent{
			Offset: r.offset + i, Text: r.tokens[i], Last: r.done && !r.cancelled && i == len(r.tokens)-1,
		})
	}
	return events, r.done, r.changed
}

func (e *Engine) isSilent(opened time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return opened.Before(e.silencedAt)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body wire.CancelRequest
	if !readJSON(w, r, &body) {
		return
	}
	e.cancelRequest(body.RequestID)
	jsonreply.Write(w, struct{}{})
}

func (e *Engine) serveRequests(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := wire.RequestsReply{Requests: []wire.RequestInfo{}}
	for id, r := range e.requests {
		if !r.done {
			reply.Requests = append(reply.Requests, wire.RequestInfo{RequestID: id, StartedAt: r.startedAt})
		}
	}
	jsonreply.Write(w, reply)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	reply := wire.LoadReply{
		Incarnation: strconv.FormatInt(e.startedAt.UnixNano(), 10), UptimeMS: now.Sub(e.startedAt).Milliseconds(),
		ObservedAt: now, SlotsTotal: e.options.Slots, PrefillRate: float64(e.options.PrefillRate), Leaving: e.leaving,
	}
	if len(e.reports) > 0 {
		oldest := e.reports[0]
		reply.ObservedAt = oldest.at
		reply.SlotsUsed = oldest.slotsUsed
		reply.PrefillBacklogMS = oldest.backlog.Milliseconds()
		reply.Batch = oldest.batch
		reply.TokenGapUS = oldest.gap.Microseconds()
	}
	jsonreply.Write(w, reply)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	jsonreply.Write(w, e.cache.eventsAfter(time.Now(), after, e.options.EventLag))
}

func (e *Engine) serveCacheSnapshot(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	jsonreply.Write(w, wire.CacheSnapshotReply{Sequence: e.cache.sequence, Blocks: e.cache.blocks.Keys()})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body wire.OrderRequest
	if !readJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && body.Fence < e.orders.fence {
		writeCode(w, wire.CodeFenced, fmt.Sprintf("order %d is older than %d", body.Fence, e.orders.fence))
		return
	}
	e.orders.apply(body)
	jsonreply.Write(w, struct{}{})
}

func (o *orderState) apply(order wire.OrderRequest) {
	o.fence = max(o.fence, order.Fence)
	o.history = append(o.history, fmt.Sprintf("%d %s %s", order.Fence, order.Kind, order.Argument))
	switch order.Kind {
	case "loadModel":
		o.model = order.Argument
	case "loadVersion":
		o.version = order.Argument
	case "loadAdapter":
		o.adapters = append(o.adapters, order.Argument)
	case "setRole":
		o.role = order.Argument
	}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	jsonreply.Write(w, wire.StateReply{
		Role: e.orders.role, Model: e.orders.model, Version: e.orders.version, Adapters: e.orders.adapters, Fence: e.orders.fence,
	})
}

func (e *Engine) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var body Switches
	if !readJSON(w, r, &body) {
		return
	}
	e.SetSwitches(body)
}

// SetSwitches sets the engine's faults.
func (e *Engine) SetSwitches(s Switches) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = s.Leaving
	if s.Silent {
		e.silencedAt = time.Now()
	}
	e.stallExports = s.StallExports
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if err := json.Unmarshal(data, value); err != nil {
		writeCode(w, wire.CodeInvalid, err.Error())
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errFull):
		writeCode(w, wire.CodeFull, err.Error())
	case errors.Is(err, errLeaving):
		writeCode(w, wire.CodeLeaving, err.Error())
	case errors.Is(err, errGone):
		writeCode(w, wire.CodeGone, err.Error())
	case strings.HasPrefix(err.Error(), "transfer"):
		writeCode(w, wire.CodeTransfer, err.Error())
	default:
		writeCode(w, wire.CodeInvalid, err.Error())
	}
}

func writeCode(w http.ResponseWriter, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(code))
	_ = json.NewEncoder(w).Encode(wire.ErrorReply{Code: code, Message: message}) // fails if the client has disconnected
}

func statusOf(code string) int {
	switch code {
	case wire.CodeInvalid:
		return http.StatusBadRequest
	case wire.CodeGone:
		return http.StatusNotFound
	case wire.CodeFenced:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
