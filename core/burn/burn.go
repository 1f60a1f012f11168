// Package burn measures how fast services use up their error budgets. It counts
// good and bad responses in sliding windows, computes burn rates and derives
// alarms from them. The error budget of an objective is the share of responses
// that may miss it; the burn rate is how many times faster than allowed the
// budget is used up. Counts of several hosts can be merged.
package burn

import "time"

const (
	// FirstToken is the objective for the time to the first token.
	FirstToken Objective = "firstToken"
	// TokenGap is the objective for the longest time between tokens.
	TokenGap Objective = "tokenGap"
	// Response is the objective for complete responses.
	Response Objective = "answer"

	// AlarmNone means that the error budget burns slowly enough.
	AlarmNone Alarm = ""
	// AlarmSlow means that the error budget has burned too fast both over the last
	// hour and over the last six hours.
	AlarmSlow Alarm = "slow"
	// AlarmFast means that the error budget burns very fast now: most responses
	// miss the objective, or many if its budget is small.
	AlarmFast Alarm = "fast"

	// AllDomains is the failure domain of rows that sum over all domains.
	AllDomains = ""

	// bucketCount is the number of buckets of each window.
	bucketCount = 30
	// fastBurnRate and slowBurnRate are the burn rates that raise an alarm, in
	// multiples of the allowed rate. These are usual rates for alerts: 14.4 uses up
	// 2 % of a 30-day budget in one hour, 6 uses up 5 % in six hours.
	fastBurnRate = 14.4
	slowBurnRate = 6.0
	// fastBadShare and slowBadShare are the shares of bad responses that raise an
	// alarm of an objective with a large error budget, whose burn rate can't reach
	// the rates above.
	fastBadShare = 0.5
	slowBadShare = 0.25
	// minBad is the number of bad responses below which no alarm is raised, so
	// that single failures of services with little traffic raise none.
	minBad = 3
)

type (
	// Objective is one service level objective.
	Objective string

	// Alarm is the urgency of a burning error budget.
	Alarm string

	// Key identifies what a series counts.
	Key struct {
		Service       string    `json:"service"`
		FailureDomain string    `json:"failureDomain"`
		Objective     Objective `json:"objective"`
	}

	// Count is a number of good and of bad responses.
	Count struct {
		Good uint64 `json:"good"`
		Bad  uint64 `json:"bad"`
	}

	// Window is one sliding time window.
	Window struct {
		Name   string
		Length time.Duration
	}
)

// Windows returns the windows from the shortest to the longest.
func Windows() [3]Window {
	return [3]Window{
		{Name: "5m", Length: 5 * time.Minute},
		{Name: "1h", Length: time.Hour},
		{Name: "6h", Length: 6 * time.Hour},
	}
}

// LongestWindow returns the length of the longest window.
func LongestWindow() time.Duration {
	windows := Windows()
	return windows[len(windows)-1].Length
}

// Total returns the number of responses.
func (c Count) Total() uint64 {
	return c.Good + c.Bad
}

// BadShare returns the share of bad responses; 0 when nothing was counted.
func (c Count) BadShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// BurnRate returns how many times faster than allowed the error budget of an
// objective is used up. share is the share of responses that must be good; it is
// normally below 1.
func (c Count) BurnRate(share float64) float64 {
	return c.BadShare() / errorBudget(share)
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// errorBudget returns the share of responses that may be bad. A share of 1 leaves
// a small budget, so that burn rates stay finite.
func errorBudget(share float64) float64 {
	const minBudget = 1e-6
	return max(minBudget, 1-share)
}

// alarmOf returns the alarm for the counts of all windows. Each alarm needs a high
// burn rate in two windows: the short window shows that the budget burns now, the
// long one that the loss is significant.
func alarmOf(share float64, counts [3]Count) Alarm {
	fast := min(fastBurnRate, fastBadShare/errorBudget(share))
	slow := min(slowBurnRate, slowBadShare/errorBudget(share))
	switch {
	case exceedsInBoth(share, fast, counts[0], counts[1]):
		return AlarmFast
	case exceedsInBoth(share, slow, counts[1], counts[2]):
		return AlarmSlow
	}
	return AlarmNone
}

// exceedsInBoth reports whether the burn rate reaches rate in a short and in a
// long window.
func exceedsInBoth(share, rate float64, short, long Count) bool {
	return long.Bad >= minBad && short.BurnRate(share) >= rate && long.BurnRate(share) >= rate
}
