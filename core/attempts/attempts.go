// Package attempts holds what has happened to a request at the backend servers, and decides
// from all of it whether the request may be sent again and whether its caller may be told
// that it has not run. The command hickoryd edge uses it.
//
// A run is one execution of a request on a backend server. A run that was migrated goes on
// at another server and stays the same run.
package attempts

// Outcomes of an attempt.
const (
	// NotRun means that the server can't have run the request: the request did not reach
	// it, or the server states so.
	NotRun Outcome = iota
	// MayHaveRun means that the server has run the request, or that this is unknown.
	MayHaveRun
	// Migrated means that the run has stopped and can go on at another server.
	Migrated
)

type (
	// Outcome is how an attempt ended.
	Outcome int

	// Rule is what the route of a request allows.
	Rule struct {
		// IsRepeatable is set if the request may run more than once.
		IsRepeatable bool
		// MaxRuns is the number of runs of a repeatable request.
		MaxRuns int
	}

	// History is what has happened to one request. The zero value with a rule is a request
	// that was not sent. It is not safe for concurrent use.
	History struct {
		rule Rule
		runs int
		// isMigrated is set while a run has stopped and may go on.
		isMigrated bool
	}
)

// New returns the history of a request that was not sent.
func New(rule Rule) *History {
	return &History{rule: rule}
}

// Record adds the outcome of an attempt. The attempt after Migrated is the one that
// continues the run.
func (h *History) Record(o Outcome) {
	isContinued := h.isMigrated
	h.isMigrated = o == Migrated
	if o != NotRun && !isContinued {
		h.runs++
	}
}

// Runs returns the number of runs that there may have been.
func (h *History) Runs() int {
	return h.runs
}

// MayRun reports whether the request may be sent to a server that runs it anew, while
// inProgress other attempts may run it.
func (h *History) MayRun(inProgress int) bool {
	runs := h.runs + inProgress
	return runs == 0 || h.rule.IsRepeatable && runs < max(h.rule.MaxRuns, 1)
}

// MayReplace reports whether the request may run anew in place of the attempt in progress.
func (h *History) MayReplace() bool {
	if h.isMigrated {
		return h.MayRun(0) // the attempt continues a run
	}
	return h.MayRun(1)
}

// MayRefuse reports whether the caller may be told that the request has not run and will
// not, while no attempt is in progress.
func (h *History) MayRefuse() bool {
	return h.runs == 0
}
