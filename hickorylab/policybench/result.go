package policybench

// Result is the result of one run. Shares are of all requests of the trace unless
// stated otherwise.
type Result struct {
	Run             Run     `json:"-"`
	Deployment      string  `json:"deployment"`
	Policy          string  `json:"policy"`
	Load            float64 `json:"load"`
	Routers         int     `json:"routers"`
	Faults          bool    `json:"faults"`
	Requests        int     `json:"requests"`
	Goodput         float64 `json:"goodput"`         // good requests per second of the trace
	GoodShare       float64 `json:"goodShare"`       // completed within both targets at the first call
	StrictShare     float64 `json:"strictShare"`     // GoodShare if deferrable requests had to meet the first-token target without their allowed queue wait
	InteractiveGood float64 `json:"interactiveGood"` // good share of the interactive requests
	DeferrableGood  float64 `json:"deferrableGood"`  // good share of the deferrable requests
	DeferrableDone  float64 `json:"deferrableDone"`  // share of the deferrable requests that finished at any time
	GapMissed       float64 `json:"gapMissed"`       // share of requests that finished but missed the token-gap target
	WastedShare     float64 `json:"wastedShare"`     // share of computed prefill tokens that were not used
	WastedTokens    int     `json:"wastedTokens"`
	Refused         int     `json:"refused"` // number of calls
	GaveUp          int     `json:"gaveUp"`  // number of calls that their callers abandoned

	prefillTokens int
	wastedTokens  int
}

// maxSlowGapShare is the maximum share of a request's token gaps that may exceed
// the target.
const maxSlowGapShare = 0.05

// count computes the result from the requests of a run.
func (r *Result) count(s *simulation) {
	r.Deployment, r.Policy, r.Load = s.run.Deployment.Name, s.run.Policy, s.run.Load
	r.Routers, r.Faults, r.Requests = s.run.Routers, s.run.Faults, len(s.requests)
	var good, strict, interactive, interactiveGood, deferrable, deferrableGood, done, slow int
	for _, q := range s.requests {
		ok := s.isGood(q)
		if q.kind.Deferrable {
			deferrable++
			deferrableGood += countIf(ok)
			done += countIf(q.finished)
		} else {
			interactive++
			interactiveGood += countIf(ok)
		}
		good += countIf(ok)
		strict += countIf(ok && q.firstAt.Sub(q.arrivedAt) <= firstTokenTarget)
		slow += countIf(q.finished && isSlow(q))
	}
	r.Goodput = float64(good) / s.run.Length.Seconds()
	r.GoodShare, r.StrictShare, r.GapMissed = share(good, r.Requests), share(strict, r.Requests), share(slow, r.Requests)
	r.InteractiveGood, r.DeferrableGood = share(interactiveGood, interactive), share(deferrableGood, deferrable)
	r.DeferrableDone = share(done, deferrable)
	r.WastedTokens = r.wastedTokens
	r.WastedShare = share(r.wastedTokens, r.prefillTokens)
}

// isGood reports whether the first call was completed within both targets.
func (s *simulation) isGood(q *request) bool {
	return q.finished && !q.refused && !q.gaveUp && q.calls == 0 &&
		q.firstAt.Sub(q.arrivedAt) <= s.firstTokenLimit(q) && !isSlow(q)
}

func isSlow(q *request) bool {
	return float64(q.slowGaps) > maxSlowGapShare*float64(q.gaps)
}

func countIf(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}
