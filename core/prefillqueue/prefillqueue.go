// Package prefillqueue estimates how long a prompt waits to be read at each prefill
// server, from how long earlier prompts took.
package prefillqueue

import (
	"math"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	// initialRate is the reading speed in tokens a millisecond that is assumed
	// before a prompt was read; it is near today's engines.
	initialRate = 30.0
	// rateDecay lets the speed, which is the best seen, follow engines that have
	// become slower.
	rateDecay = 0.002
	// memory is the time in which what was seen of other hosts' prompts at a
	// server fades: a queue of a few prompts.
	memory = 400 * time.Millisecond
	// foreignDomain is the extra time that the transfer from another failure
	// domain counts as.
	foreignDomain = 15 * time.Millisecond
	// refusedWait is the wait that a refusal for lack of room counts as.
	refusedWait = 600 * time.Millisecond
)

type (
	// Estimator knows what this host has at each prefill server. It is not safe
	// for concurrent use.
	Estimator struct {
		// rate is the reading speed in tokens a millisecond.
		rate    float64
		servers map[string]*queue
	}

	// Entry is one prompt that is being read.
	Entry struct {
		Server string
		tokens int
		// ahead is this host's own tokens before it.
		ahead int
		begun time.Time
	}

	queue struct {
		tokens int
		// foreign is the wait that other hosts' prompts caused when seen.
		foreign time.Duration
		seen    time.Time
	}
)

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{rate: initialRate, servers: make(map[string]*queue)}
}

// Pick returns the server at which a prompt is read first, and how long it
// waits there. It returns false where there is no server.
func (e *Estimator) Pick(now time.Time, servers []serverlist.Server, domain string) (serverlist.Server, time.Duration, bool) {
	var best serverlist.Server
	least := time.Duration(math.MaxInt64)
	for _, s := range servers {
		wait := e.wait(now, s.ID)
		if s.FailureDomain != domain {
			wait += foreignDomain
		}
		if wait < least {
			best, least = s, wait
		}
	}
	return best, least, len(servers) > 0
}

// Enqueue counts a prompt at a server.
func (e *Estimator) Enqueue(now time.Time, server string, tokens int) Entry {
	q := e.queue(server)
	ticket := Entry{Server: server, tokens: tokens, ahead: q.tokens, begun: now}
	q.tokens += tokens
	return ticket
}

// Complete takes in that a prompt was read.
func (e *Estimator) Complete(now time.Time, t Entry) {
	q := e.queue(t.Server)
	q.tokens -= t.tokens
	took := now.Sub(t.begun)
	if took <= 0 {
		return
	}
	speed := float64(t.tokens) / (float64(took) / float64(time.Millisecond))
	e.rate = max(e.rate*(1-rateDecay), speed)
	q.foreign = max(took-e.duration(t.tokens+t.ahead), 0)
	q.seen = now
}

// Fail takes in that a prompt was not read; isRefused where the server had no
// room for it.
func (e *Estimator) Fail(now time.Time, t Entry, isRefused bool) {
	q := e.queue(t.Server)
	q.tokens -= t.tokens
	if isRefused {
		q.foreign, q.seen = refusedWait, now
	}
}

// Retain forgets servers that are not known any more.
func (e *Estimator) Retain(servers []serverlist.Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
	}
	for id, q := range e.servers {
		if !known[id] && q.tokens <= 0 {
			delete(e.servers, id)
		}
	}
}

func (e *Estimator) wait(now time.Time, server string) time.Duration {
	q, ok := e.servers[server]
	if !ok {
		return 0
	}
	fading := math.Exp(-float64(now.Sub(q.seen)) / float64(memory))
	return e.duration(q.tokens) + time.Duration(fading*float64(q.foreign))
}

func (e *Estimator) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.rate * float64(time.Millisecond))
}

func (e *Estimator) queue(server string) *queue {
	q, ok := e.servers[server]
	if !ok {
		q = &queue{}
		e.servers[server] = q
	}
	return q
}
