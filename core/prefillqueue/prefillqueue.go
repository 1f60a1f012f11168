// Package prefillqueue estimates how long a prompt waits for its prefill at each
// prefill server, from the time that earlier prompts took. The command hickoryd edge
// uses it, for the prefill servers of the users' platform. In hickoryd serve, the
// prefill queues are in core/slot.
package prefillqueue

import (
	"math"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	// initialTokensPerMs is the prefill speed that is assumed until a prompt has
	// completed. It is close to the speed of current engines.
	initialTokensPerMs = 30.0
	// speedDecay is the part by which the estimated speed, the highest observed,
	// decreases with each prompt, so that it follows engines that become slower.
	speedDecay = 0.002
	// otherHostsDecay is the time constant with which an observed wait behind
	// other hosts' prompts decays: the length of a queue of a few prompts.
	otherHostsDecay = 400 * time.Millisecond
	// crossDomainPenalty is the extra wait that the transfer of the KV cache from
	// another failure domain counts as.
	crossDomainPenalty = 15 * time.Millisecond
	// refusalWait is the wait that a refusal for lack of capacity counts as.
	refusalWait = 600 * time.Millisecond
)

type (
	// Estimator tracks this host's queued prompts at each prefill server. It is not
	// safe for concurrent use.
	Estimator struct {
		// tokensPerMs is the estimated prefill speed of a server.
		tokensPerMs float64
		servers     map[string]*queue
	}

	// Entry is one prompt in a server's queue, from Enqueue until Complete or Fail.
	Entry struct {
		Server string
		tokens int
		// ahead is the number of this host's tokens in the queue before it.
		ahead    int
		enqueued time.Time
	}

	queue struct {
		// tokens is the number of this host's tokens in the queue.
		tokens int
		// prompts is the number of this host's prompts in the queue.
		prompts int
		// otherHosts is the wait behind other hosts' prompts at the time observed.
		otherHosts time.Duration
		observed   time.Time
	}
)

// NewEstimator returns an estimator with empty queues.
func NewEstimator() *Estimator {
	return &Estimator{tokensPerMs: initialTokensPerMs, servers: make(map[string]*queue)}
}

// Pick returns the server with the shortest expected wait for a prompt whose KV cache
// is transferred to the given failure domain, and that wait. The wait includes the
// penalty for a transfer between domains. Pick returns false if there are no servers.
func (e *Estimator) Pick(now time.Time, servers []serverlist.Server, domain string) (serverlist.Server, time.Duration, bool) {
	var best serverlist.Server
	minWait := time.Duration(math.MaxInt64)
	for _, s := range servers {
		wait := e.wait(now, s.ID)
		if s.FailureDomain != domain {
			wait += crossDomainPenalty
		}
		if wait < minWait {
			best, minWait = s, wait
		}
	}
	return best, minWait, len(servers) > 0
}

// Enqueue adds a prompt to a server's queue.
func (e *Estimator) Enqueue(now time.Time, server string, tokens int) Entry {
	q := e.queue(server)
	entry := Entry{Server: server, tokens: tokens, ahead: q.tokens, enqueued: now}
	q.tokens += tokens
	q.prompts++
	return entry
}

// Complete removes a prompt whose prefill has succeeded, and updates the estimates
// from the time that it took.
func (e *Estimator) Complete(now time.Time, entry Entry) {
	q := e.queue(entry.Server)
	q.tokens -= entry.tokens
	q.prompts--
	took := now.Sub(entry.enqueued)
	if took <= 0 {
		return
	}
	speed := float64(entry.tokens) / (float64(took) / float64(time.Millisecond))
	e.tokensPerMs = max(e.tokensPerMs*(1-speedDecay), speed)
	q.otherHosts = max(took-e.duration(entry.tokens+entry.ahead), 0)
	q.observed = now
}

// Fail removes a prompt whose prefill has failed. isRefused is set if the server had
// no capacity for the prompt.
func (e *Estimator) Fail(now time.Time, entry Entry, isRefused bool) {
	q := e.queue(entry.Server)
	q.tokens -= entry.tokens
	q.prompts--
	if isRefused {
		q.otherHosts, q.observed = refusalWait, now
	}
}

// Retain removes the queues of servers other than those given, unless prompts are
// still in them.
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
	decay := math.Exp(-float64(now.Sub(q.observed)) / float64(otherHostsDecay))
	return e.duration(q.tokens) + time.Duration(decay*float64(q.otherHosts))
}

// Duration returns the time that a server is expected to take for the prefill of a prompt.
func (e *Estimator) Duration(tokens int) time.Duration {
	return e.duration(tokens)
}

// Prompts returns the number of this host's prompts in a server's queue.
func (e *Estimator) Prompts(server string) int {
	q, ok := e.servers[server]
	if !ok {
		return 0
	}
	return q.prompts
}

func (e *Estimator) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.tokensPerMs * float64(time.Millisecond))
}

func (e *Estimator) queue(server string) *queue {
	q, ok := e.servers[server]
	if !ok {
		q = &queue{}
		e.servers[server] = q
	}
	return q
}
