package trace

import (
	"fmt"
	"math/rand/v2"
	"net/http"
)

const (
	// TermStart is the burst of holds and lookups at the start of a term, with
	// catalogue matching beside it.
	TermStart = "term-start"
	// PreDawn is the hour of driver briefs, with drivers' pings beside it.
	PreDawn = "pre-dawn"

	statusOK = http.StatusOK
)

// recorder draws the requests of a trace together with their outcomes.
type recorder struct {
	random   *rand.Rand
	requests []Request
	outcomes []Outcome
}

// Generate returns the named trace and its outcomes. The same seed gives the same
// trace.
func Generate(name string, seed uint64) ([]Request, []Outcome, error) {
	r := &recorder{random: rand.New(rand.NewPCG(seed, seed))}
	switch name {
	case TermStart:
		r.termStart()
	case PreDawn:
		r.preDawn()
	default:
		return nil, nil, fmt.Errorf("%w: no trace %q; there are %s and %s", ErrInvalidTrace, name, TermStart, PreDawn)
	}
	return r.requests, r.outcomes, nil
}

// termStart spreads its requests over five seconds, most of them in the first.
func (r *recorder) termStart() {
	const holds, lookups, matches = 60, 40, 24
	for i := range holds {
		r.keyedCall(fmt.Sprintf("hold-%d", i), r.burst(), "boipara", "cart", "/holds", i%5 == 0)
	}
	for i := range lookups {
		r.add(Request{
			ID: fmt.Sprintf("lookup-%d", i), AtMS: r.burst(), Kind: KindCall, Workspace: "boipara", Service: "cart",
			Method: http.MethodGet, Path: fmt.Sprintf("/stock/%d", i),
		}, Outcome{Status: statusOK})
	}
	for i := range matches {
		request := Request{
			ID: fmt.Sprintf("match-%d", i), AtMS: r.burst(), Kind: KindCompletion, Workspace: "boipara", Service: "catalogue",
			Model: "catalogue-8b", Shared: "shared catalogue", SharedTokens: 400, OwnTokens: 40 + r.random.IntN(200), Tokens: 24,
		}
		outcome := Outcome{Status: statusOK, Complete: true}
		if i%8 == 7 {
			request.CancelMS, outcome = 150, Outcome{Cancelled: true}
		}
		r.add(request, outcome)
	}
}

// preDawn spreads long briefs over five seconds, and pings among them.
func (r *recorder) preDawn() {
	const briefs, pings = 18, 60
	for i := range briefs {
		r.add(Request{
			ID: fmt.Sprintf("brief-%d", i), AtMS: r.steady(), Kind: KindCompletion, Workspace: "dutchpot", Service: "catalogue",
			Model: "catalogue-8b", Shared: fmt.Sprintf("route %d", i%3), SharedTokens: 300, OwnTokens: 800 + r.random.IntN(1200), Tokens: 32,
		}, Outcome{Status: statusOK, Complete: true})
	}
	for i := range pings {
		r.keyedCall(fmt.Sprintf("stop-%d", i), r.steady(), "dutchpot", "cart", "/stops", i%4 == 0)
	}
}

// keyedCall adds a call that may not be repeated; when again is set, its caller
// sends it a second time to another host and must get the same answer.
func (r *recorder) keyedCall(id string, at int64, workspace, service, path string, again bool) {
	const resendAfterMS = 400
	call := Request{
		ID: id, AtMS: at, Kind: KindCall, Workspace: workspace, Service: service,
		Method: http.MethodPost, Path: path, Key: id, Body: fmt.Sprintf(`{"id":%q}`, id),
	}
	first := r.add(call, Outcome{Status: statusOK})
	if !again {
		return
	}
	call.ID = id + "-again"
	call.AtMS += resendAfterMS
	call.Host = first.Host + 1
	r.append(call, Outcome{ID: call.ID, Status: statusOK, SameAs: id})
}

func (r *recorder) add(request Request, outcome Outcome) Request {
	const hosts = 7
	request.Host = r.random.IntN(hosts)
	outcome.ID = request.ID
	r.append(request, outcome)
	return request
}

func (r *recorder) append(request Request, outcome Outcome) {
	r.requests = append(r.requests, request)
	r.outcomes = append(r.outcomes, outcome)
}

func (r *recorder) burst() int64 {
	const spanMS = 1500
	return int64(min(3, r.random.ExpFloat64()) * spanMS)
}

func (r *recorder) steady() int64 {
	const spanMS = 5000
	return int64(r.random.IntN(spanMS))
}
