package node

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/listenlimit"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
)

const (
	// callerShare, operatorShare and peerShare are the parts of the memory that the peers of
	// each listener may make the daemon hold, for connections and heads together.
	callerShare   = 0.3
	operatorShare = 0.02
	peerShare     = 0.1
	// connectionShare is the part of a listener's memory for connections.
	connectionShare = 0.75
	// peerCalls is the maximum number of calls in progress of one other daemon.
	peerCalls = 1024
)

// listeners are the bounds of the daemon's listeners.
type listeners struct {
	caller, operator, peer *listenlimit.Limiter
	calls                  *listenlimit.CallLimit
}

func newListeners(s settings.Settings, set *metrics.Set) (*listeners, error) {
	total := float64(s.Limits.MemoryMB) * (1 << 20)
	process := memoryledger.New(int64(total))
	listenlimit.AddGauges(set, "all", process)
	var errs []error
	limiter := func(name string, share, descriptorShare float64, maxConnections int, isHTTP bool) *listenlimit.Limiter {
		l, err := listenlimit.NewForPart(listenlimit.Part{
			Name: name, Memory: process.Part(int64(share * total)), ConnectionBytes: int64(share * connectionShare * total), HeadBytes: int64(share * total),
			DescriptorShare: descriptorShare, MaxConnections: maxConnections, IsHTTP: isHTTP,
		}, set)
		errs = append(errs, err)
		return l
	}
	l := &listeners{
		caller:   limiter("caller", callerShare, 1./2, s.Limits.CallerConnections, true),
		operator: limiter("operator", operatorShare, 1./32, s.Limits.OperatorConnections, true),
		peer:     limiter("peer", peerShare, 1./8, s.Limits.PeerConnections, false),
		calls:    listenlimit.NewCallLimit(s.Limits.MemoryMB, set),
	}
	return l, errors.Join(errs...)
}
