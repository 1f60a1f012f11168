package edge

import (
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
	// serversShare is the part that the responses of backend servers may hold beyond what each
	// may hold: long heads, bodies and events.
	serversShare = 0.15
	// hostCalls is the maximum number of calls in progress of one other host.
	hostCalls = 256
	// smallHeadBytes is the maximum size of a head at the readiness and operators' listeners.
	// The package net/http adds 4 KB to it.
	smallHeadBytes = 4 << 10
	// requestTime limits the time in which a request at these listeners must arrive, and
	// responseTime that in which its response must be read.
	requestTime  = 5 * time.Second
	responseTime = 30 * time.Second
)

// memory is the ledger of the process, divided into parts for each listener.
type memory struct {
	bodies, responses, servers    *memoryledger.Ledger
	caller, ready, operator, peer *listenlimit.Limiter
	calls                         *listenlimit.CallLimit
}

func newMemory(s Settings, set *metrics.Set) (*memory, error) {
	bytes := func(share float64) int64 { return int64(share * float64(s.MemoryMB) * (1 << 20)) }
	total := memoryledger.New(bytes(peersShare))
	callers := total.Part(bytes(callersShare))
	m := &memory{bodies: callers.Part(bytes(bodyShare)), responses: callers.Part(bytes(responseShare)), servers: total.Part(bytes(serversShare)), calls: listenlimit.NewCallLimit(s.MemoryMB, set)}
	var errs [4]error
	m.caller, errs[0] = listenlimit.NewForPart(listenlimit.Part{
		Name: "caller", Memory: callers, ConnectionBytes: bytes(connectionShare), HeadBytes: bytes(headShare),
		DescriptorShare: 1. / 2, MaxConnections: s.CallerConnections, IsHTTP: true,
	}, set)
	other := func(name string, share, descriptorShare float64, maxConnections int, isHTTP bool) (*listenlimit.Limiter, error) {
		return listenlimit.NewForPart(listenlimit.Part{
			Name: name, Memory: total.Part(bytes(share)), ConnectionBytes: bytes(share), HeadBytes: bytes(share),
			DescriptorShare: descriptorShare, MaxConnections: maxConnections, IsHTTP: isHTTP,
		}, set)
	}
	m.ready, errs[1] = other("ready", readyShare, 1./16, s.ReadyConnections, true)
	m.operator, errs[2] = other("operator", operatorShare, 1./32, s.OperatorConnections, true)
	m.peer, errs[3] = other("peer", hostShare, 1./8, s.PeerConnections, false)
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	m.bodies.SetRelief(m.caller.Relieve)
	m.responses.SetRelief(m.caller.Relieve)
	listenlimit.AddGauges(set, "bodies", m.bodies)
	listenlimit.AddGauges(set, "responses", m.responses)
	listenlimit.AddGauges(set, "servers", m.servers)
	listenlimit.AddGauges(set, "callers", callers)
	listenlimit.AddGauges(set, "all", total)
	return m, nil
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
