// Package telemetry counts the responses and refusals that callers received,
// maintains the burn windows of this host and stores them on the platform. A burn
// window holds the good and bad events of one service objective over a period, of
// which core/burn computes the burn rate of the error budget.
package telemetry

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
)

const (
	wastedPrefillMetric = `hickoryfront_prefill_wasted_tokens_total`
	platformCallsPrefix = `hickoryfront_platform_calls_total{class="`
	labelEnd            = `"}`
)

type (
	// Recorder counts responses and refusals by service. It is safe for concurrent
	// use.
	Recorder struct {
		self      member.Host
		set       *metrics.Set
		startedAt time.Time

		mu        sync.Mutex
		tracker   *burn.Tracker
		latencies map[latencyKey]*metrics.Histogram
	}

	latencyKey struct {
		service   string
		objective burn.Objective
	}
)

// New returns a recorder that registers its counters in set. The incarnation of
// self is the start time of the process in nanoseconds.
func New(self member.Host, set *metrics.Set) *Recorder {
	return &Recorder{
		self:      self,
		set:       set,
		startedAt: time.Unix(0, int64(self.Incarnation)).UTC(),
		tracker:   burn.NewTracker(),
		latencies: map[latencyKey]*metrics.Histogram{},
	}
}

// Completion counts one completion of a model service.
func (r *Recorder) Completion(now time.Time, profile config.Profile, service string, timing caller.Timing) {
	r.count(now, profile, service, burn.FirstToken, timing.OK && timing.FirstToken <= profile.FirstTokenTarget)
	r.count(now, profile, service, burn.TokenGap, timing.OK && timing.WorstGap <= profile.TokenGapTarget)
	r.count(now, profile, service, burn.Response, timing.OK)
	if timing.Tokens > 0 {
		r.latency(service, burn.FirstToken).Update(timing.FirstToken.Seconds())
		r.latency(service, burn.TokenGap).Update(timing.WorstGap.Seconds())
		r.latency(service, burn.Response).Update(timing.Total.Seconds())
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`hickoryfront_tokens_total{service=%q}`, service)).Add(timing.Tokens)
}

// Call counts one call of a plain service.
func (r *Recorder) Call(now time.Time, profile config.Profile, service string, took time.Duration, ok bool) {
	r.count(now, profile, service, burn.Response, ok && took <= profile.ResponseTarget)
	r.latency(service, burn.Response).Update(took.Seconds())
}

// Refused counts one refusal.
func (r *Recorder) Refused(service string, refused *refusal.Refusal) {
	name := fmt.Sprintf(`hickoryfront_refusals_total{service=%q,code=%q,ran=%q}`, service, refused.Kind.Code, refused.Ran)
	r.set.GetOrCreateCounter(name).Inc()
}

// Restore adds the counts of an earlier incarnation of this host.
func (r *Recorder) Restore(earlier burn.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Restore(earlier)
}

// Snapshot returns the counts of this host.
func (r *Recorder) Snapshot(now time.Time) burn.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return burn.Snapshot{
		Host: r.self.Name, FailureDomain: r.self.FailureDomain, Incarnation: r.self.Incarnation,
		StartedAt: r.startedAt, TakenAt: now.UTC(), Series: r.tracker.Series(), Latencies: r.histograms(), Usage: r.usage(),
	}
}

// EncodedSnapshot returns the counts of this host in their encoded form.
func (r *Recorder) EncodedSnapshot(now time.Time) ([]byte, error) {
	return r.Snapshot(now).Encode()
}

func (r *Recorder) count(now time.Time, profile config.Profile, service string, objective burn.Objective, good bool) {
	result := "good"
	if !good {
		result = "bad"
	}
	name := fmt.Sprintf(`hickoryfront_objective_total{service=%q,objective=%q,result=%q}`, service, objective, result)
	r.set.GetOrCreateCounter(name).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	key := burn.Key{Service: service, FailureDomain: r.self.FailureDomain, Objective: objective}
	r.tracker.Record(now, key, profile.Objective, good)
}

func (r *Recorder) latency(service string, objective burn.Objective) *metrics.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := latencyKey{service, objective}
	h, ok := r.latencies[key]
	if !ok {
		h = r.set.GetOrCreateHistogram(fmt.Sprintf(`hickoryfront_latency_seconds{service=%q,objective=%q}`, service, objective))
		r.latencies[key] = h
	}
	return h
}

// histograms copies the latency histograms. The caller holds mu.
func (r *Recorder) histograms() []burn.Latency {
	latencies := make([]burn.Latency, 0, len(r.latencies))
	for key, h := range r.latencies {
		copied := burn.Histogram{}
		h.VisitNonZeroBuckets(func(name string, count uint64) { copied[name] = count })
		latencies = append(latencies, burn.Latency{Service: key.service, Objective: key.objective, Histogram: copied})
	}
	return latencies
}

// usage reads the counters of wasted prefill tokens and of platform calls.
func (r *Recorder) usage() burn.Usage {
	usage := burn.Usage{PlatformCalls: map[string]uint64{}}
	for _, name := range r.set.ListMetricNames() {
		if name == wastedPrefillMetric {
			usage.WastedPrefillTokens = r.set.GetOrCreateCounter(name).Get()
			continue
		}
		if class, ok := strings.CutPrefix(name, platformCallsPrefix); ok {
			usage.PlatformCalls[strings.TrimSuffix(class, labelEnd)] = r.set.GetOrCreateCounter(name).Get()
		}
	}
	return usage
}
