package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

type (
	// ControlOptions are the options of MeasureControl.
	ControlOptions struct {
		Daemon   string        // path of the daemon's executable
		Settle   time.Duration // wait between the start of a fleet and the measurement
		Measure  time.Duration // length of the measurement
		Points   []ControlPoint
		Progress io.Writer
	}

	// ControlPoint describes a fleet of daemons to measure.
	ControlPoint struct {
		Daemons    int     `json:"nodes"`
		Servers    int     `json:"servers"` // of the complete fleet
		Workspaces int     `json:"workspaces"`
		Changes    float64 `json:"changesPerSecond"`
	}

	// ControlSample is the resource usage per daemon of a fleet. Worst values
	// are of the daemon with the highest usage, the others are means.
	ControlSample struct {
		Point      ControlPoint  `json:"point"`
		CPU        float64       `json:"cpuShare"` // share of one core
		Bytes      float64       `json:"bytesPerSecond"`
		Memory     float64       `json:"memoryBytes"`
		Reads      float64       `json:"platformReadsPerSecond"`
		Writes     float64       `json:"platformWritesPerSecond"`
		WorstCPU   float64       `json:"worstCpuShare"`
		WorstBytes float64       `json:"worstBytesPerSecond"`
		Spread     time.Duration `json:"worstSpreadNanoseconds"` // longest time until a configuration change is in force on the last daemon
	}

	// ControlReport is the report of MeasureControl.
	ControlReport struct {
		Samples []ControlSample `json:"samples"`
		Fits    []Fit           `json:"fits"`
	}

	// configChanger commits configuration changes at a fixed rate through the first
	// daemon and measures how long each takes to be in force on the last one, which
	// stands for all daemons.
	configChanger struct {
		fleet       *fleet
		interval    time.Duration
		worstSpread time.Duration
		err         error
	}
)

// DefaultPoints returns fleets that differ from a small one in one property or a
// few, so that the effect of each property can be fitted.
func DefaultPoints() []ControlPoint {
	return []ControlPoint{
		{Daemons: 7, Servers: 28, Workspaces: 10},
		{Daemons: 7, Servers: 231, Workspaces: 10},
		{Daemons: 7, Servers: 28, Workspaces: 890},
		{Daemons: 7, Servers: 28, Workspaces: 10, Changes: 1},
		{Daemons: 20, Servers: 28, Workspaces: 10},
		{Daemons: 20, Servers: 660, Workspaces: 10},
		{Daemons: 20, Servers: 28, Workspaces: 890, Changes: 0.43},
		{Daemons: 60, Servers: 28, Workspaces: 10},
		{Daemons: 60, Servers: 660, Workspaces: 10},
	}
}

// MeasureControl measures the resource usage of the daemons' control work for all
// points, one after the other.
func MeasureControl(ctx context.Context, o ControlOptions) (ControlReport, error) {
	var report ControlReport
	for i, point := range o.Points {
		sample, err := measurePoint(ctx, o, i, point)
		if err != nil {
			return report, fmt.Errorf("%d nodes, %d servers: %w", point.Daemons, point.Servers, err)
		}
		fmt.Fprintf(o.Progress, "%d nodes, %d servers, %d workspaces, %.2f changes/s: %.2f%% of a core, %.0f bytes/s, %.1f MB, %.2f reads/s, %.2f writes/s, spread %s\n",
			point.Daemons, point.Servers, point.Workspaces, point.Changes, 100*sample.CPU, sample.Bytes, sample.Memory/1e6, sample.Reads, sample.Writes, sample.Spread)
		report.Samples = append(report.Samples, sample)
	}
	report.Fits = FitAll(report.Samples)
	return report, nil
}

func measurePoint(ctx context.Context, o ControlOptions, number int, point ControlPoint) (ControlSample, error) {
	f, err := newFleet(number)
	if err != nil {
		return ControlSample{}, err
	}
	defer f.close()
	if err := f.addServers(point.Servers); err != nil {
		return ControlSample{}, err
	}
	if err := f.startDaemons(ctx, o.Daemon, point.Daemons, point.Servers, point.Workspaces); err != nil {
		return ControlSample{}, err
	}
	if !sleep(ctx, o.Settle) {
		return ControlSample{}, ctx.Err()
	}
	return f.measure(ctx, point, o.Measure)
}

// measure reads the resource usage of every daemon at the start and at the end of a
// period and returns the difference.
func (f *fleet) measure(ctx context.Context, point ControlPoint, period time.Duration) (ControlSample, error) {
	before, err := f.readUsages()
	if err != nil {
		return ControlSample{}, err
	}
	begin := time.Now()
	changes := &configChanger{fleet: f}
	if point.Changes > 0 {
		changes.interval = time.Duration(float64(time.Second) / point.Changes)
	}
	changes.run(ctx, begin.Add(period))
	if ctx.Err() != nil || changes.err != nil {
		return ControlSample{}, firstError(ctx.Err(), changes.err)
	}
	after, err := f.readUsages()
	if err != nil {
		return ControlSample{}, err
	}
	sample := average(before, after, time.Since(begin))
	sample.Point = point
	sample.Spread = changes.worstSpread
	return sample, nil
}

func (f *fleet) readUsages() ([]usage, error) {
	usages := make([]usage, 0, len(f.daemons))
	for _, d := range f.daemons {
		r, err := readUsage(d)
		if err != nil {
			return nil, err
		}
		usages = append(usages, r)
	}
	return usages, nil
}

func average(before, after []usage, period time.Duration) ControlSample {
	var s ControlSample
	count := float64(len(before))
	for i := range before {
		cpu := (after[i].cpuSeconds - before[i].cpuSeconds) / period.Seconds()
		bytes := (after[i].bytes - before[i].bytes) / period.Seconds()
		s.CPU += cpu / count
		s.Bytes += bytes / count
		s.Memory += after[i].memory / count
		s.Reads += (after[i].reads - before[i].reads) / period.Seconds() / count
		s.Writes += (after[i].writes - before[i].writes) / period.Seconds() / count
		s.WorstCPU = max(s.WorstCPU, cpu)
		s.WorstBytes = max(s.WorstBytes, bytes)
	}
	return s
}

// run commits changes until the deadline. Without an interval it only waits.
func (c *configChanger) run(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if c.interval == 0 {
			sleep(ctx, time.Until(deadline))
			return
		}
		begin := time.Now()
		if c.err = c.change(ctx, begin); c.err != nil {
			return
		}
		sleep(ctx, min(time.Until(begin.Add(c.interval)), time.Until(deadline)))
	}
}

func (c *configChanger) change(ctx context.Context, begin time.Time) error {
	name := fmt.Sprintf("bench-%d", begin.UnixNano())
	revision, err := c.fleet.change(ctx, []configEdit{{Kind: "workspace", Name: name, Text: "[workspace]\nshare = 1\n"}})
	if err != nil {
		return err
	}
	last := c.fleet.daemons[len(c.fleet.daemons)-1]
	err = c.fleet.waitUntil(ctx, func() bool {
		var status statusReply
		return c.fleet.admin(ctx, "GET", last, "/admin/v1/status", nil, &status) == nil && status.ConfigRevision >= revision
	})
	c.worstSpread = max(c.worstSpread, time.Since(begin))
	return err
}

func firstError(errs ...error) error {
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		return errs[i]
	}
	return nil
}
