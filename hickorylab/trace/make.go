package trace

import (
	"fmt"
	"math/rand/v2"
	"net/http"
)

const (
	// TermStart is the trace of the start of a term: a burst of holds and lookups,
	// and catalogue matching at the same time.
	TermStart = "term-start"
	// PreDawn is the trace of the hour before dawn: briefs for drivers, and
	// drivers' pings at the same time.
	PreDawn = "pre-dawn"

	statusOK = http.StatusOK
)

// generator generates the requests of a trace and their stated outcomes.
type generator struct {
	random   *rand.Rand
	requests []Request
	outcomes []Outcome
}

// Generate returns the requests and the outcomes of the named trace. The same seed
// gives the same trace.
func Generate(name string, seed uint64) ([]Request, []Outcome, error) {
	r := &generator{random: rand.New(rand.NewPCG(seed, seed))}
	switch name {
	case TermStart:
		r.generateTermStart()
	case PreDawn:
		r.generatePreDawn()
	default:
		return nil, nil, fmt.Errorf("%w: unknown trace %q, want %s or %s", ErrInvalidTrace, name, TermStart, PreDawn)
	}
	return r.requests, r.outcomes, nil
}

// generateTermStart spreads its requests over five seconds, most of them in the
// first two.
func (r *generator) generateTermStart() {
	const holds, lookups, matches = 60, 40, 24
	for i := range holds {
		r.addKeyedCall(fmt.Sprintf("hold-%d", i), r.burstTime(), "boipara", "cart", "/holds", i%5 == 0)
	}
	for i := range lookups {
		r.add(Request{
			ID: fmt.Sprintf("lookup-%d", i), AtMS: r.burstTime(), Kind: KindCall, Workspace: "boipara", Service: "cart",
			Method: http.MethodGet, Path: fmt.Sprintf("/stock/%d", i),
		}, Outcome{Status: statusOK})
	}
	for i := range matches {
		request := Request{
			ID: fmt.Sprintf("match-%d", i), AtMS: r.burstTime(), Kind: KindCompletion, Workspace: "boipara", Service: "catalogue",
			Model: "catalogue-8b", Shared: "shared catalogue", SharedTokens: 400, OwnTokens: 40 + r.random.IntN(200), Tokens: 24,
		}
		outcome := Outcome{Status: statusOK, Complete: true}
		if i%8 == 7 {
			request.CancelMS, outcome = 150, Outcome{Cancelled: true}
		}
		r.add(request, outcome)
	}
}

// generatePreDawn spreads long briefs and pings evenly over five seconds.
func (r *generator) generatePreDawn() {
	const briefs, pings = 18, 60
	for i := range briefs {
		r.add(Request{
			ID: fmt.Sprintf("brief-%d", i), AtMS: r.uniformTime(), Kind: KindCompletion, Workspace: "dutchpot", Service: "catalogue",
			Model: "catalogue-8b", Shared: fmt.Sprintf("route %d", i%3), SharedTokens: 300, OwnTokens: 800 + r.random.IntN(1200), Tokens: 32,
		}, Outcome{Status: statusOK, Complete: true})
	}
	for i := range pings {
		r.addKeyedCall(fmt.Sprintf("stop-%d", i), r.uniformTime(), "dutchpot", "cart", "/stops", i%4 == 0)
	}
}

// addKeyedCall adds a call with an idempotency key, which must run at most once. With
// retry, the caller sends the call again to another host and must get the same
// response.
func (r *generator) addKeyedCall(id string, at int64, workspace, service, path string, retry bool) {
	const retryAfterMS = 400
	call := Request{
		ID: id, AtMS: at, Kind: KindCall, Workspace: workspace, Service: service,
		Method: http.MethodPost, Path: path, Key: id, Body: fmt.Sprintf(`{"id":%q}`, id),
	}
	first := r.add(call, Outcome{Status: statusOK})
	if !retry {
		return
	}
	call.ID = id + "-again"
	call.AtMS += retryAfterMS
	call.Host = first.Host + 1
	r.append(call, Outcome{ID: call.ID, Status: statusOK, SameAs: id})
}

// add assigns a random host to a request, appends the request with its outcome and
// returns it.
func (r *generator) add(request Request, outcome Outcome) Request {
	const hosts = 7
	request.Host = r.random.IntN(hosts)
	outcome.ID = request.ID
	r.append(request, outcome)
	return request
}

func (r *generator) append(request Request, outcome Outcome) {
	r.requests = append(r.requests, request)
	r.outcomes = append(r.outcomes, outcome)
}

// burstTime returns a random time in milliseconds, exponentially distributed and at
// most three times the mean.
func (r *generator) burstTime() int64 {
	const meanMS = 1500
	return int64(min(3, r.random.ExpFloat64()) * meanMS)
}

// uniformTime returns a uniformly distributed random time in milliseconds.
func (r *generator) uniformTime() int64 {
	const spanMS = 5000
	return int64(r.random.IntN(spanMS))
}
