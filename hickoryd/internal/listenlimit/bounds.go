package listenlimit

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
)

const (
	// callsPerMB is the number of calls of other hosts in progress for each MB of memory. The
	// window of a call whose message is incomplete holds up to 64 KB.
	callsPerMB = 3
	// callHeaderBytes is the maximum size of the header fields of a call.
	callHeaderBytes = 16 << 10
	// callMessageBytes is the maximum size of a message of another host, the default of grpc.
	callMessageBytes = 4 << 20
	// connectTime limits the time until another host has begun its connection.
	connectTime = 5 * time.Second
)

type (
	// Part says which part of a process's memory and descriptors a listener may use.
	Part struct {
		Name string
		// Memory holds everything that the listener's peers cause the process to hold.
		// ConnectionBytes and HeadBytes are the parts of it for connections and heads.
		Memory                     *memoryledger.Ledger
		ConnectionBytes, HeadBytes int64
		// DescriptorShare is the part of the descriptors.
		DescriptorShare float64
		// MaxConnections is the setting, or 0 for what memory and descriptors allow.
		MaxConnections int
		IsHTTP         bool
	}

	// CallLimit bounds the gRPC calls in progress. It is safe for concurrent use.
	CallLimit struct {
		max     int64
		used    atomic.Int64
		refused *metrics.Counter
	}
)

// NewForPart returns a limiter whose bound on connections follows from memory, the process's
// descriptors and the setting.
func NewForPart(p Part, set *metrics.Set) (*Limiter, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return nil, fmt.Errorf("read the limit on descriptors: %w", err)
	}
	memory, heads := p.Memory.Part(p.ConnectionBytes), p.Memory.Part(p.HeadBytes)
	AddGauges(set, p.Name+"-connections", memory)
	AddGauges(set, p.Name+"-heads", heads)
	bound := min(p.ConnectionBytes/ConnectionBytes, int64(p.DescriptorShare*float64(descriptors.Cur)))
	if p.MaxConnections > 0 {
		bound = min(bound, int64(p.MaxConnections))
	}
	return New(Options{Name: p.Name, Connections: int(max(bound, 1)), Memory: memory, Heads: heads, IsHTTP: p.IsHTTP}, set), nil
}

// AddGauges adds the metrics of a part of the memory.
func AddGauges(set *metrics.Set, name string, ledger *memoryledger.Ledger) {
	label := `{part="` + name + `"}`
	set.NewGauge(`hickoryfront_memory_bytes`+label, func() float64 { return float64(ledger.Used()) })
	set.NewGauge(`hickoryfront_memory_limit_bytes`+label, func() float64 { return float64(ledger.Limit()) })
	set.NewGauge(`hickoryfront_memory_denied_total`+label, func() float64 { return float64(ledger.Denied()) })
}

// NewCallLimit returns a bound for a process that may use memoryMB.
func NewCallLimit(memoryMB int, set *metrics.Set) *CallLimit {
	l := &CallLimit{max: int64(callsPerMB * memoryMB), refused: set.NewCounter(`hickoryfront_peer_calls_refused_total`)}
	set.NewGauge(`hickoryfront_peer_calls`, func() float64 { return float64(l.used.Load()) })
	set.NewGauge(`hickoryfront_peer_calls_max`, func() float64 { return float64(l.max) })
	return l
}

// ServerOptions returns the bounds of a gRPC server whose clients have at most streams calls in
// progress on each connection.
func (l *CallLimit) ServerOptions(streams uint32) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(streams), grpc.MaxHeaderListSize(callHeaderBytes), grpc.MaxRecvMsgSize(callMessageBytes),
		grpc.ConnectionTimeout(connectTime), grpc.InTapHandle(l.begin),
	}
}

// begin counts a call until its context ends, or refuses it.
func (l *CallLimit) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if l.used.Add(1) > l.max {
		l.used.Add(-1)
		l.refused.Inc()
		return nil, status.Error(codes.ResourceExhausted, "too many calls in progress")
	}
	context.AfterFunc(ctx, l.end)
	return ctx, nil
}

func (l *CallLimit) end() {
	l.used.Add(-1)
}
