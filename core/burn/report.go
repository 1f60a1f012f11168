package burn

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// SourceLive hosts returned their current counts.
	SourceLive Source = "live"
	// SourceSnapshot hosts did not respond; their stored counts are used.
	SourceSnapshot Source = "snapshot"
	// SourceMissing hosts did not respond and have no stored counts.
	SourceMissing Source = "missing"
)

type (
	// Source is the origin of the counts of a host.
	Source string

	// HostSnapshot holds the counts of one host and their source.
	HostSnapshot struct {
		Host          string
		FailureDomain string
		Alive         bool // regarded as alive when the report is made
		Source        Source
		Snapshot      Snapshot // empty for SourceMissing
	}

	// Report is the error budget burn of all services, summed over all hosts.
	Report struct {
		At           time.Time        `json:"at"`
		PlatformRead bool             `json:"platformRead"` // false: the platform could not be read, stored counts are left out
		Rows         []Row            `json:"rows"`
		Latencies    []LatencySummary `json:"latencies"`
		Hosts        []HostUsage      `json:"hosts"`
	}

	// Row is the burn of one objective in one failure domain or in all of them.
	Row struct {
		Key        Key          `json:"key"`
		Share      float64      `json:"share"`      // of responses that must be good
		BudgetLeft float64      `json:"budgetLeft"` // share of the budget of the longest window; below 0: overspent
		Windows    []WindowBurn `json:"windows"`
		Alarm      Alarm        `json:"alarm"`
		Points     []Point      `json:"points"` // buckets of the longest window, oldest first
	}

	// WindowBurn is the burn in one window.
	WindowBurn struct {
		Window string  `json:"window"`
		Count  Count   `json:"count"`
		Rate   float64 `json:"rate"`
	}

	// LatencySummary holds the quantiles of one latency, in seconds.
	LatencySummary struct {
		Service   string    `json:"service"`
		Objective Objective `json:"objective"`
		Total     uint64    `json:"total"`
		P50       float64   `json:"p50Seconds"`
		P95       float64   `json:"p95Seconds"`
		P99       float64   `json:"p99Seconds"`
	}

	// HostUsage is the state and the usage of one host in the report.
	HostUsage struct {
		Host                string            `json:"host"`
		FailureDomain       string            `json:"failureDomain"`
		Alive               bool              `json:"alive"`
		Source              Source            `json:"source"`
		TakenAt             time.Time         `json:"takenAt,omitzero"`
		WastedPrefillTokens uint64            `json:"wastedPrefillTokens"`
		PlatformCalls       map[string]uint64 `json:"platformCalls"`
		PlatformCallRate    float64           `json:"platformCallsPerSecond"`
	}

	latencyKey struct {
		service   string
		objective Objective
	}
)

// Merge merges the counts of all hosts into one report.
func Merge(now time.Time, hosts []HostSnapshot, platformRead bool) Report {
	report := Report{At: now, PlatformRead: platformRead, Rows: []Row{}, Hosts: []HostUsage{}}
	series := map[Key]*Series{}
	latencies := map[latencyKey]Histogram{}
	for _, h := range hosts {
		report.Hosts = append(report.Hosts, newHostUsage(h))
		addSeries(series, h.Snapshot.Series)
		addLatencies(latencies, h.Snapshot.Latencies)
	}
	for _, key := range slices.SortedFunc(maps.Keys(series), compareKeys) {
		if row := newRow(now, key, series[key]); row.total() > 0 {
			report.Rows = append(report.Rows, row)
		}
	}
	report.Latencies = summarize(latencies)
	slices.SortFunc(report.Hosts, func(a, b HostUsage) int { return strings.Compare(a.Host, b.Host) })
	return report
}

// Missing returns the live hosts whose counts are not in the report.
func (r Report) Missing() []string {
	var names []string
	for _, h := range r.Hosts {
		if h.Source == SourceMissing {
			names = append(names, h.Host)
		}
	}
	return names
}

// ForService returns the report with the rows of one service; "" keeps all.
func (r Report) ForService(service string) Report {
	if service == "" {
		return r
	}
	r.Rows = slices.DeleteFunc(slices.Clone(r.Rows), func(row Row) bool { return row.Key.Service != service })
	r.Latencies = slices.DeleteFunc(slices.Clone(r.Latencies), func(l LatencySummary) bool { return l.Service != service })
	return r
}

func (r Row) total() uint64 {
	return r.Windows[len(r.Windows)-1].Count.Total()
}

// addSeries adds each series to the sum of its failure domain and to that of all
// domains.
func addSeries(merged map[Key]*Series, added []KeyedSeries) {
	for i := range added {
		domain, all := added[i].Key, added[i].Key
		all.FailureDomain = AllDomains
		for _, key := range []Key{domain, all} {
			if merged[key] == nil {
				merged[key] = &Series{}
			}
			merged[key].Merge(&added[i].Series)
		}
	}
}

func addLatencies(merged map[latencyKey]Histogram, added []Latency) {
	for _, l := range added {
		key := latencyKey{l.Service, l.Objective}
		if merged[key] == nil {
			merged[key] = Histogram{}
		}
		merged[key].Merge(l.Histogram)
	}
}

func newRow(now time.Time, key Key, s *Series) Row {
	counts := s.Counts(now)
	row := Row{Key: key, Share: s.Share, Alarm: alarmOf(s.Share, counts), Points: s.Points(now)}
	for i, w := range Windows() {
		row.Windows = append(row.Windows, WindowBurn{Window: w.Name, Count: counts[i], Rate: counts[i].BurnRate(s.Share)})
	}
	row.BudgetLeft = 1 - row.Windows[len(row.Windows)-1].Rate
	return row
}

func summarize(latencies map[latencyKey]Histogram) []LatencySummary {
	summaries := make([]LatencySummary, 0, len(latencies))
	for key, h := range latencies {
		summaries = append(summaries, LatencySummary{
			Service: key.service, Objective: key.objective, Total: h.Total(),
			P50: h.Quantile(0.50), P95: h.Quantile(0.95), P99: h.Quantile(0.99),
		})
	}
	slices.SortFunc(summaries, func(a, b LatencySummary) int {
		return compareKeys(Key{Service: a.Service, Objective: a.Objective}, Key{Service: b.Service, Objective: b.Objective})
	})
	return summaries
}

func newHostUsage(h HostSnapshot) HostUsage {
	usage := HostUsage{
		Host: h.Host, FailureDomain: h.FailureDomain, Alive: h.Alive, Source: h.Source, TakenAt: h.Snapshot.TakenAt,
		WastedPrefillTokens: h.Snapshot.Usage.WastedPrefillTokens, PlatformCalls: h.Snapshot.Usage.PlatformCalls,
	}
	var calls uint64
	for _, count := range usage.PlatformCalls {
		calls += count
	}
	if uptime := h.Snapshot.TakenAt.Sub(h.Snapshot.StartedAt); uptime > 0 {
		usage.PlatformCallRate = float64(calls) / uptime.Seconds()
	}
	return usage
}
