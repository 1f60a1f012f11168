package edgedispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// suspectDelay is the time without a response to a plain request after which the paths
	// to the servers of its service are checked.
	suspectDelay = 250 * time.Millisecond
	// pathTimeout limits an attempt to connect to a server that a check makes.
	pathTimeout = 400 * time.Millisecond
	// checkedServers is the number of servers that a check connects to at once. If none
	// accepts, the check connects to as many others.
	checkedServers = 2
	// pathRecheckPeriod is the time between two checks while the paths are lost.
	pathRecheckPeriod = 400 * time.Millisecond
)

// suspectPaths starts a check of the paths to the servers of a service, unless one is in
// progress or was made lately.
func (d *Dispatcher) suspectPaths(service string) {
	d.mu.Lock()
	isToCheck := d.paths.Begin(time.Now(), service)
	if isToCheck {
		d.pathChecks[service] = make(chan struct{})
	}
	d.mu.Unlock()
	if isToCheck {
		go d.runPathCheck(service)
	}
}

// suspectAfterError is suspectPaths after a call of a server has failed with err. A call that
// was canceled shows nothing about the paths.
func (d *Dispatcher) suspectAfterError(ctx context.Context, service string, err error) {
	if cause := context.Cause(ctx); err != nil && (cause == nil || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errSlow)) {
		d.suspectPaths(service)
	}
}

// runPathCheck checks the paths to the servers of a service until they are not lost.
func (d *Dispatcher) runPathCheck(service string) {
	for {
		tried, connected := d.checkPaths(service)
		d.mu.Lock()
		isLost, isChanged := d.paths.Record(time.Now(), service, tried, connected)
		if check, ok := d.pathChecks[service]; ok {
			close(check)
			delete(d.pathChecks, service)
		}
		d.mu.Unlock()
		entry := d.logger.WithFields(log.Fields{"service": service, "tried": tried, "connected": connected})
		switch {
		case isChanged && isLost:
			entry.Warn("no path to the servers of a service")
		case isChanged:
			entry.Info("path to the servers of a service is back")
		}
		if !isLost || timing.Sleep(d.background, pathRecheckPeriod) != nil {
			return
		}
	}
}

// checkPaths connects to a few servers of a service. It returns the number of servers and the
// number of those that have accepted.
func (d *Dispatcher) checkPaths(service string) (tried, connected int) {
	var servers []serverlist.Server
	for _, s := range d.servers() {
		if s.Service == service && !s.IsDraining {
			servers = append(servers, s)
		}
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for connected == 0 && tried < min(2*checkedServers, len(servers)) {
		chosen := servers[tried:min(tried+checkedServers, len(servers))]
		results := make(chan error, len(chosen))
		for _, s := range chosen {
			go d.runConnect(s, results)
		}
		for range chosen {
			if <-results == nil {
				connected++
			}
		}
		tried += len(chosen)
	}
	return tried, connected
}

// runConnect connects to a server.
func (d *Dispatcher) runConnect(server serverlist.Server, results chan<- error) {
	ctx, cancel := context.WithTimeout(d.background, pathTimeout)
	defer cancel()
	results <- d.pool.Probe(ctx, server.Address)
}

// hasPaths reports whether the paths to the servers of a service are not lost.
func (d *Dispatcher) hasPaths(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.paths.IsLost(service)
}

// awaitPaths reports whether the paths to the servers of a service are not lost. If a check
// is in progress, it awaits the result until ctx ends.
func (d *Dispatcher) awaitPaths(ctx context.Context, service string) bool {
	d.mu.Lock()
	check, isInProgress := d.pathChecks[service]
	d.mu.Unlock()
	if isInProgress {
		select {
		case <-check:
		case <-ctx.Done():
		}
	}
	return d.hasPaths(service)
}

// lostPaths returns the number of services to whose servers the paths are lost.
func (d *Dispatcher) lostPaths() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.paths.Lost())
}
