// Package burn counts how far services miss their objectives: good and bad
// answers in sliding windows, the rate at which the error budget burns, and
// the alarms that follow. Counts of several hosts can be merged.
package burn

import "time"

const (
	// FirstToken is the objective for the time to the first token.
	FirstToken Objective = "firstToken"
	// TokenGap is the objective for the longest time between tokens.
	TokenGap Objective = "tokenGap"
	// Response is the objective for whole answers.
	Response Objective = "answer"

	// AlarmNone means that the budget burns slowly enough.
	AlarmNone Alarm = ""
	// AlarmSlow means that the budget of hours is being used up.
	AlarmSlow Alarm = "slow"
	// AlarmFast means that most answers miss the objective now.
	AlarmFast Alarm = "fast"

	// AllDomains is the failure domain of rows that sum over all domains.
	AllDomains = ""

	// bucketCount is the number of buckets of each window.
	bucketCount = 30
	// fastRate and slowRate are the burn rates that raise an alarm.
	fastRate = 14.4
	slowRate = 6.0
	// fastBadShare and slowBadShare bound the rates above for objectives with a
	// large budget, whose burn rate can't rise as far.
	fastBadShare = 0.5
	slowBadShare = 0.25
	// minBad keeps single failures of quiet services from raising an alarm.
	minBad = 3
)

type (
	// Objective is one promise to callers.
	Objective string

	// Alarm says how urgent a burning budget is.
	Alarm string

	// Key names what is counted.
	Key struct {
		Service       string    `json:"service"`
		FailureDomain string    `json:"failureDomain"`
		Objective     Objective `json:"objective"`
	}

	// Count is a number of good and bad answers.
	Count struct {
		Good uint64 `json:"good"`
		Bad  uint64 `json:"bad"`
	}

	// Window is one sliding window.
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

// Total returns the number of answers.
func (c Count) Total() uint64 {
	return c.Good + c.Bad
}

// BadShare returns the share of bad answers; 0 when nothing was counted.
func (c Count) BadShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// BurnRate returns how many times faster than allowed the budget of an objective
// burns. share is the share of answers that must be good, below 1.
func (c Count) BurnRate(share float64) float64 {
	return c.BadShare() / budgetOf(share)
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// budgetOf returns the share of answers that may be bad. A share of 1 leaves a
// small budget, so that rates stay finite.
func budgetOf(share float64) float64 {
	const smallestBudget = 1e-6
	return max(smallestBudget, 1-share)
}

// alarmOf combines two windows at a time: the short one proves that the budget
// burns now, the long one that it matters.
func alarmOf(share float64, counts [3]Count) Alarm {
	fast := min(fastRate, fastBadShare/budgetOf(share))
	slow := min(slowRate, slowBadShare/budgetOf(share))
	switch {
	case burnsTogether(share, fast, counts[0], counts[1]):
		return AlarmFast
	case burnsTogether(share, slow, counts[1], counts[2]):
		return AlarmSlow
	}
	return AlarmNone
}

func burnsTogether(share, rate float64, short, long Count) bool {
	return long.Bad >= minBad && short.BurnRate(share) >= rate && long.BurnRate(share) >= rate
}
