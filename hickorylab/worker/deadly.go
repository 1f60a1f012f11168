package worker

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// restartDelay is the time after which a server that a deadly part has crashed is back.
const restartDelay = 1500 * time.Millisecond

type (
	// deadly is a part of prompts that crashes each server which begins to answer it, or a whole
	// request.
	deadly struct {
		mu   sync.Mutex
		part string
		// path is the start of the path of the whole request.
		path string
		// keepsIDs is set if the servers start again under the IDs that they had.
		keepsIDs bool
		crashes  []time.Time
		arrivals []time.Time
	}
)

// SetDeadlyPart makes a part of prompts crash each server that begins to answer a request
// with it, unless it is the last part. The servers start again after some time, under the
// IDs that they had if keepsIDs is set. An empty part ends this.
func (g *Group) SetDeadlyPart(part string, keepsIDs bool) {
	g.deadly.mu.Lock()
	defer g.deadly.mu.Unlock()
	g.deadly.part, g.deadly.keepsIDs = part, keepsIDs
}

// SetDeadlyPath makes requests whose paths start with path crash each server that runs them. The
// servers start again after some time. An empty path ends this.
func (g *Group) SetDeadlyPath(path string) {
	g.deadly.mu.Lock()
	defer g.deadly.mu.Unlock()
	g.deadly.path = path
}

// DeadlyCrashes returns the times at which deadly requests crashed servers, in order.
func (g *Group) DeadlyCrashes() []time.Time {
	g.deadly.mu.Lock()
	defer g.deadly.mu.Unlock()
	return slices.Clone(g.deadly.crashes)
}

// DeadlyArrivals returns the times at which requests with the deadly part reached servers,
// to be prefilled or answered.
func (g *Group) DeadlyArrivals() []time.Time {
	g.deadly.mu.Lock()
	defer g.deadly.mu.Unlock()
	return slices.Clone(g.deadly.arrivals)
}

func (g *Group) countDeadlyArrival(r *http.Request) {
	g.deadly.mu.Lock()
	defer g.deadly.mu.Unlock()
	if g.deadly.isIn(r) {
		g.deadly.arrivals = append(g.deadly.arrivals, time.Now())
	}
}

// countDeadlyRun reports whether a run crashes its server, and whether the server keeps its
// ID.
func (g *Group) countDeadlyRun(r *http.Request) (isDeadly, keepsID bool) {
	g.deadly.mu.Lock()
	defer g.deadly.mu.Unlock()
	if !g.deadly.isIn(r) {
		return false, false
	}
	g.deadly.crashes = append(g.deadly.crashes, time.Now())
	return true, g.deadly.keepsIDs
}

// crashesOn crashes the server if a run is deadly, and reports whether it has.
func (s *Server) crashesOn(r *http.Request) bool {
	isDeadly, keepsID := s.group.countDeadlyRun(r)
	if isDeadly {
		go s.runDeadlyCrash(keepsID)
		<-r.Context().Done()
	}
	return isDeadly
}

func (d *deadly) isIn(r *http.Request) bool {
	if d.path != "" && strings.HasPrefix(r.URL.Path, d.path) {
		return true
	}
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	return d.part != "" && slices.ContainsFunc(parts[:len(parts)-1], func(entry string) bool {
		id, _, _ := strings.Cut(entry, ":")
		return id == d.part
	})
}

// runDeadlyCrash crashes the server and starts it again.
func (s *Server) runDeadlyCrash(keepsID bool) {
	s.crash(keepsID)
	time.Sleep(restartDelay)
	for s.start(keepsID) != nil { // until the address is free
		time.Sleep(10 * time.Millisecond)
	}
}
