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
	// deadly is a part of prompts that crashes each server which begins to answer it.
	deadly struct {
		mu   sync.Mutex
		part string
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

// DeadlyCrashes returns the times at which the deadly part crashed servers, in order.
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

func (d *deadly) isIn(r *http.Request) bool {
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
