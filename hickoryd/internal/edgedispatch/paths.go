package edgedispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
	pathTimeout = 250 * time.Millisecond
	// checkedServers is the number of servers that a check connects to, the suspected one
	// included, and furtherServers the number of those that it connects to in addition if
	// some have accepted and more than the suspected one have not.
	checkedServers = 3
	furtherServers = 16
	// pathRecheckPeriod is the time between two checks while a path is lost.
	pathRecheckPeriod = 400 * time.Millisecond
	// lostShare is the part of the servers of a service to which this host has lost its paths
	// from which on it passes requests that it can't place to other hosts.
	lostShare = 0.25
)

// connection is the result of an attempt to connect to a server.
type connection struct {
	server serverlist.Server
	err    error
}

// suspectPaths starts a check of the paths to a server and to others of its service, unless
// one is in progress or was made lately.
func (d *Dispatcher) suspectPaths(server serverlist.Server) {
	d.mu.Lock()
	isToCheck := d.paths.Begin(time.Now(), server.Service)
	if isToCheck {
		d.pathChecks[server.Service] = make(chan struct{})
	}
	d.mu.Unlock()
	if isToCheck {
		go d.runPathCheck(server)
	}
}

// suspectRest starts a check of the paths to the servers of a service if some of them are lost.
// The others may be too, but get no requests that would show it.
func (d *Dispatcher) suspectRest(service string) {
	if d.pathsLost(service) == 0 {
		return
	}
	for _, s := range d.servers() {
		if s.Service == service && !s.IsDraining {
			d.suspectPaths(s)
			return
		}
	}
}

// suspectAfterError is suspectPaths after a call of a server has failed with err. A call that
// was canceled shows nothing about the paths.
func (d *Dispatcher) suspectAfterError(ctx context.Context, server serverlist.Server, err error) {
	if cause := context.Cause(ctx); err != nil && (cause == nil || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errSlow)) {
		d.suspectPaths(server)
	}
}

// runPathCheck checks the paths to a server and to others of its service until that has one.
func (d *Dispatcher) runPathCheck(suspect serverlist.Server) {
	service := suspect.Service
	for {
		tried, connected := d.checkPaths(suspect)
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

// checkPaths connects to a server and to others of its service. It returns the number of
// servers and the number of those that have accepted.
func (d *Dispatcher) checkPaths(suspect serverlist.Server) (tried, connected int) {
	var servers []serverlist.Server
	for _, s := range d.servers() {
		if s.Service == suspect.Service && !s.IsDraining {
			servers = append(servers, s)
		}
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	if i := slices.IndexFunc(servers, func(s serverlist.Server) bool { return s.ID == suspect.ID }); i > 0 {
		servers[0], servers[i] = servers[i], servers[0]
	}
	tried = min(checkedServers, len(servers))
	connected = d.connect(servers[:tried])
	if connected > 0 && tried-connected > 1 {
		chosen := servers[tried:min(tried+furtherServers, len(servers))]
		connected += d.connect(chosen)
		tried += len(chosen)
	}
	return tried, connected
}

// connect connects to servers at the same time, and records those to which there is no path.
// It returns the number of the servers that have accepted.
func (d *Dispatcher) connect(servers []serverlist.Server) int {
	results := make(chan connection, len(servers))
	for _, s := range servers {
		go d.runConnect(s, results)
	}
	connected := 0
	for range servers {
		result := <-results
		if result.err == nil {
			connected++
		}
		if d.setPath(result.server, result.err != nil) {
			go d.runPathRecheck(result.server)
		}
	}
	return connected
}

// runConnect connects to a server.
func (d *Dispatcher) runConnect(server serverlist.Server, results chan<- connection) {
	ctx, cancel := context.WithTimeout(d.background, pathTimeout)
	defer cancel()
	results <- connection{server, d.pool.Probe(ctx, server.Address)}
}

// runPathRecheck connects to a server to which this host has lost its path until that is back
// or the server is not listed any more.
func (d *Dispatcher) runPathRecheck(server serverlist.Server) {
	for timing.Sleep(d.background, pathRecheckPeriod) == nil {
		servers := d.servers()
		i := slices.IndexFunc(servers, func(s serverlist.Server) bool { return s.ID == server.ID })
		results := make(chan connection, 1)
		if i >= 0 {
			d.runConnect(servers[i], results) // it may have started again at another address
		}
		if i < 0 || (<-results).err == nil {
			d.setPath(server, false)
			return
		}
	}
}

// setPath records whether the path to a server is lost. It reports whether it was not lost
// before and is now.
func (d *Dispatcher) setPath(server serverlist.Server, isLost bool) bool {
	d.mu.Lock()
	isChanged := d.balancer.SetPath(server.ID, isLost)
	d.mu.Unlock()
	entry := d.logger.WithFields(log.Fields{"server": server.ID, "service": server.Service})
	switch {
	case isChanged && isLost:
		entry.Info("no path to a backend server")
	case isChanged:
		entry.Info("path to a backend server is back")
	}
	return isChanged && isLost
}

// hasNoPath reports whether the path to a server is lost.
func (d *Dispatcher) hasNoPath(server serverlist.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.HasNoPath(server.ID)
}

// hasPaths reports whether the paths to the servers of a service are not lost.
func (d *Dispatcher) hasPaths(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.paths.IsLost(service)
}

// hasLostMany reports whether the paths to many of the servers of a service are lost.
func (d *Dispatcher) hasLostMany(service string) bool {
	return d.pathsLost(service) >= lostShare
}

// pathsLost returns the part of the servers of a service to which the paths are lost.
func (d *Dispatcher) pathsLost(service string) float64 {
	servers := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.LostShare(servers, service)
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
