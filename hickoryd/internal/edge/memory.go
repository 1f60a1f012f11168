package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/listenlimit"
)

// Parts of the memory that the process may use. docs/design/memory.md lists them.
const (
	// peersShare is the part that all peers may make the process hold. The Go runtime's
	// limit (memoryShare) leaves room for the program beside it.
	peersShare = 0.48
	// callersShare is that of callers; the parts of their connections, heads, bodies and
	// responses add up to more, so that each may use what the others don't.
	callersShare    = 0.4
	connectionShare = 0.2
	headShare       = 0.1
	responseShare   = 0.2
	readyShare      = 0.015
	operatorShare   = 0.015
	hostShare       = 0.05
	// smallHeadBytes is the maximum size of a head at the readiness and operators' listeners.
	// The package net/http adds 4 KB to it.
	smallHeadBytes = 4 << 10
	// requestTime limits the time in which a request at these listeners must arrive, and
	// responseTime that in which its response must be read.
	requestTime  = 5 * time.Second
	responseTime = 30 * time.Second
	// callsPerMB is the number of calls of other hosts in progress for each MB of memory. The
	// window of a call whose message is incomplete holds up to 64 KB.
	callsPerMB = 3
	// peerHeaderBytes is the maximum size of the header fields of a call.
	peerHeaderBytes = 16 << 10
	// peerStreams is the maximum number of calls in progress of one other host.
	peerStreams = 256
	// peerMessageBytes is the maximum size of a message of another host, the default of grpc.
	peerMessageBytes = 4 << 20
	// peerConnectTime limits the time until another host has begun its connection.
	peerConnectTime = 5 * time.Second
)

type (
	// memory is the ledger of the process, divided into parts for each listener.
	memory struct {
		total, bodies, responses      *memoryledger.Ledger
		caller, ready, operator, peer *listenlimit.Limiter
		calls                         *callLimit
	}

	// callLimit bounds the calls of other hosts in progress.
	callLimit struct {
		max     int64
		used    atomic.Int64
		refused *metrics.Counter
	}
)

func newMemory(s Settings, set *metrics.Set) (*memory, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return nil, fmt.Errorf("read the limit on descriptors: %w", err)
	}
	bytes := func(share float64) int64 { return int64(share * float64(s.MemoryMB) * (1 << 20)) }
	m := &memory{total: memoryledger.New(bytes(peersShare))}
	callers := m.total.Part(bytes(callersShare))
	m.bodies, m.responses = callers.Part(bytes(bodyShare)), callers.Part(bytes(responseShare))
	limit := func(name string, setting int, parent *memoryledger.Ledger, connections, heads float64, descriptorPart uint64, isHTTP bool) *listenlimit.Limiter {
		memory, head := parent.Part(bytes(connections)), parent.Part(bytes(heads))
		addGauges(set, name+"-connections", memory)
		addGauges(set, name+"-heads", head)
		bound := min(memory.Limit()/listenlimit.ConnectionBytes, int64(min(descriptors.Cur, 1<<20)/descriptorPart))
		if setting > 0 {
			bound = min(bound, int64(setting))
		}
		return listenlimit.New(listenlimit.Options{Name: name, Connections: int(max(bound, 1)), Memory: memory, Heads: head, IsHTTP: isHTTP}, set)
	}
	m.caller = limit("caller", s.CallerConnections, callers, connectionShare, headShare, 2, true)
	m.ready = limit("ready", s.ReadyConnections, m.total.Part(bytes(readyShare)), readyShare, readyShare, 16, true)
	m.operator = limit("operator", s.OperatorConnections, m.total.Part(bytes(operatorShare)), operatorShare, operatorShare, 32, true)
	m.peer = limit("peer", s.PeerConnections, m.total.Part(bytes(hostShare)), hostShare, hostShare, 8, false)
	m.bodies.SetRelief(m.caller.Relieve)
	m.responses.SetRelief(m.caller.Relieve)
	addGauges(set, "bodies", m.bodies)
	addGauges(set, "responses", m.responses)
	addGauges(set, "total", m.total)
	m.calls = &callLimit{max: int64(callsPerMB * s.MemoryMB), refused: set.NewCounter(`hickoryfront_peer_calls_refused_total`)}
	return m, nil
}

// addGauges adds the metrics of a part of the memory.
func addGauges(set *metrics.Set, name string, ledger *memoryledger.Ledger) {
	label := `{part="` + name + `"}`
	set.NewGauge(`hickoryfront_memory_bytes`+label, func() float64 { return float64(ledger.Used()) })
	set.NewGauge(`hickoryfront_memory_limit_bytes`+label, func() float64 { return float64(ledger.Limit()) })
	set.NewGauge(`hickoryfront_memory_denied_total`+label, func() float64 { return float64(ledger.Denied()) })
}

// peerOptions returns the bounds of the server for other hosts.
func (m *memory) peerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(peerStreams), grpc.MaxHeaderListSize(peerHeaderBytes), grpc.MaxRecvMsgSize(peerMessageBytes),
		grpc.ConnectionTimeout(peerConnectTime), grpc.InTapHandle(m.calls.begin),
	}
}

// begin counts a call until its context ends, or refuses it.
func (l *callLimit) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if l.used.Add(1) > l.max {
		l.used.Add(-1)
		l.refused.Inc()
		return nil, status.Error(codes.ResourceExhausted, "too many calls in progress")
	}
	context.AfterFunc(ctx, func() { l.used.Add(-1) })
	return ctx, nil
}

// limitSmall gives a server small heads, no bodies and short times, and the bounds of limiter.
func limitSmall(server *http.Server, limiter *listenlimit.Limiter) *http.Server {
	server.Handler = withoutBody(server.Handler)
	server.MaxHeaderBytes, server.ReadTimeout, server.WriteTimeout, server.IdleTimeout = smallHeadBytes, requestTime, responseTime, idleTimeout
	limiter.Limit(server)
	return server
}

// withoutBody refuses requests with a body, and closes their connections.
func withoutBody(base http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			base.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
}
