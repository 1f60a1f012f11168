package policybench

// Result is what one run gave. Shares are of all requests of the trace.
type Result struct {
	Run             Run     `json:"-"`
	Deployment      string  `json:"deployment"`
	Policy          string  `json:"policy"`
	Load            float64 `json:"load"`
	Routers         int     `json:"routers"`
	Faults          bool    `json:"faults"`
	Requests        int     `json:"requests"`
	Goodput         float64 `json:"goodput"`         // good requests per second of the trace
	GoodShare       float64 `json:"goodShare"`       // within both targets at the first call
	StrictShare     float64 `json:"strictShare"`     // the same without the wait of deferrable requests
	InteractiveGood float64 `json:"interactiveGood"` // share of the interactive requests
	DeferrableGood  float64 `json:"deferrableGood"`
	DeferrableDone  float64 `json:"deferrableDone"` // answered at last
	GapMissed       float64 `json:"gapMissed"`      // share that missed the token gap
	WastedShare     float64 `json:"wastedShare"`    // of prefill work
	WastedTokens    int     `json:"wastedTokens"`
	Refused         int     `json:"refused"` // calls
	GaveUp          int     `json:"gaveUp"`  // calls

	prefillTokens int
	wastedTokens  int
}

// maxSlowGaps is the share of a request's token gaps that may be over target.
const maxSlowGaps = 0.05

// count sums up the requests.
func (r *Result) count(b *bench) {
	r.Deployment, r.Policy, r.Load = b.run.Deployment.Name, b.run.Policy, b.run.Load
	r.Routers, r.Faults, r.Requests = b.run.Routers, b.run.Faults, len(b.requests)
	var good, strict, interactive, interactiveGood, deferrable, deferrableGood, done, slow int
	for _, q := range b.requests {
		ok := b.isGood(q)
		if q.kind.Deferrable {
			deferrable++
			deferrableGood += one(ok)
			done += one(q.finished)
		} else {
			interactive++
			interactiveGood += one(ok)
		}
		good += one(ok)
		strict += one(ok && q.firstAt.Sub(q.arrivedAt) <= firstTokenTarget)
		slow += one(q.finished && isSlow(q))
	}
	r.Goodput = float64(good) / b.run.Length.Seconds()
	r.GoodShare, r.StrictShare, r.GapMissed = share(good, r.Requests), share(strict, r.Requests), share(slow, r.Requests)
	r.InteractiveGood, r.DeferrableGood = share(interactiveGood, interactive), share(deferrableGood, deferrable)
	r.DeferrableDone = share(done, deferrable)
	r.WastedTokens = r.wastedTokens
	r.WastedShare = share(r.wastedTokens, r.prefillTokens)
}

// isGood reports whether the first call was answered within both targets.
func (b *bench) isGood(q *request) bool {
	return q.finished && !q.refused && !q.gaveUp && q.calls == 0 &&
		q.firstAt.Sub(q.arrivedAt) <= b.firstTokenLimit(q) && !isSlow(q)
}

func isSlow(q *request) bool {
	return float64(q.slowGaps) > maxSlowGaps*float64(q.gaps)
}

func one(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
