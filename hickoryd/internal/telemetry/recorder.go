// Package telemetry counts what callers experienced.
package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
)

// Recorder counts answers and refusals by service. It is safe for concurrent
// use.
type Recorder struct {
	set *metrics.Set
}

// New returns a recorder that registers its counters in set.
func New(set *metrics.Set) *Recorder {
	return &Recorder{set: set}
}

// Completion counts one completion.
func (r *Recorder) Completion(_ time.Time, profile config.Profile, service string, timing caller.Timing) {
	r.count(service, "firstToken", timing.OK && timing.FirstToken <= profile.FirstTokenTarget)
	r.count(service, "tokenGap", timing.OK && timing.WorstGap <= profile.TokenGapTarget)
	r.count(service, "answer", timing.OK)
	r.set.GetOrCreateHistogram(fmt.Sprintf(`hickoryfront_first_token_seconds{service=%q}`, service)).Update(timing.FirstToken.Seconds())
	r.set.GetOrCreateCounter(fmt.Sprintf(`hickoryfront_tokens_total{service=%q}`, service)).Add(timing.Tokens)
}

// Call counts one call of a plain service.
func (r *Recorder) Call(_ time.Time, profile config.Profile, service string, took time.Duration, ok bool) {
	r.count(service, "answer", ok && took <= profile.AnswerTarget)
	r.set.GetOrCreateHistogram(fmt.Sprintf(`hickoryfront_call_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Refused counts one refusal.
func (r *Recorder) Refused(service string, refused *refusal.Refusal) {
	name := fmt.Sprintf(`hickoryfront_refusals_total{service=%q,code=%q,ran=%q}`, service, refused.Kind.Code, refused.Ran)
	r.set.GetOrCreateCounter(name).Inc()
}

func (r *Recorder) count(service, objective string, good bool) {
	result := "good"
	if !good {
		result = "bad"
	}
	name := fmt.Sprintf(`hickoryfront_objective_total{service=%q,objective=%q,result=%q}`, service, objective, result)
	r.set.GetOrCreateCounter(name).Inc()
}
