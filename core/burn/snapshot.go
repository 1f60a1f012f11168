package burn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxSeries bounds the number of keys of one host. Responses of further keys
	// are counted under otherService.
	maxSeries = 512
	// maxSnapshotBytes bounds the decompressed size of a snapshot.
	maxSnapshotBytes = 16 << 20

	otherService = "(other)"
)

// ErrBadSnapshot marks a snapshot that can't be decoded.
var ErrBadSnapshot = errors.New("burn snapshot can't be decoded")

type (
	// Tracker counts the responses of one host. It is not safe for concurrent use.
	Tracker struct {
		series map[Key]*Series
	}

	// Snapshot holds the counts of one host in a form that can be stored.
	Snapshot struct {
		Host          string        `json:"host"`
		FailureDomain string        `json:"failureDomain"`
		Incarnation   uint64        `json:"incarnation"`
		StartedAt     time.Time     `json:"startedAt"`
		TakenAt       time.Time     `json:"takenAt"`
		Series        []KeyedSeries `json:"series"`
		Latencies     []Latency     `json:"latencies"`
		Usage         Usage         `json:"usage"`
	}

	// KeyedSeries is one series of a snapshot.
	KeyedSeries struct {
		Key    Key    `json:"key"`
		Series Series `json:"series"`
	}

	// Latency is a histogram of one latency that callers of a service have
	// experienced since the daemon started.
	Latency struct {
		Service   string    `json:"service"`
		Objective Objective `json:"objective"`
		Histogram Histogram `json:"histogram"`
	}

	// Usage is what a host has used since its daemon started.
	Usage struct {
		WastedPrefillTokens uint64            `json:"wastedPrefillTokens"`
		PlatformCalls       map[string]uint64 `json:"platformCalls"` // by class of call
	}
)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{series: map[Key]*Series{}}
}

// Record counts one response. share is the share of responses that must be good.
func (t *Tracker) Record(now time.Time, key Key, share float64, good bool) {
	s := t.seriesOf(key)
	s.Share = share
	s.Add(now, good)
}

// Restore adds the counts of an earlier incarnation of the host.
func (t *Tracker) Restore(earlier Snapshot) {
	for i := range earlier.Series {
		t.seriesOf(earlier.Series[i].Key).Merge(&earlier.Series[i].Series)
	}
}

// Series returns copies of all series in a stable order.
func (t *Tracker) Series() []KeyedSeries {
	keys := slices.SortedFunc(maps.Keys(t.series), compareKeys)
	series := make([]KeyedSeries, 0, len(keys))
	for _, key := range keys {
		series = append(series, KeyedSeries{Key: key, Series: *t.series[key]})
	}
	return series
}

// seriesOf returns the series of a key, or that of otherService when there are too
// many keys.
func (t *Tracker) seriesOf(key Key) *Series {
	if s, ok := t.series[key]; ok {
		return s
	}
	if len(t.series) >= maxSeries {
		key.Service = otherService
		if s, ok := t.series[key]; ok {
			return s
		}
	}
	s := &Series{}
	t.series[key] = s
	return s
}

// Encode returns the compressed form in which the snapshot is stored and sent.
func (s Snapshot) Encode() ([]byte, error) {
	var compressed bytes.Buffer
	compressor := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(compressor).Encode(s); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// DecodeSnapshot parses the form that Encode returns. The error is
// ErrBadSnapshot.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	text, err := io.ReadAll(io.LimitReader(decompressor, maxSnapshotBytes))
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	return s, s.check()
}

func (s Snapshot) check() error {
	for _, keyed := range s.Series {
		for _, ring := range keyed.Series.Rings {
			if ring.Newest < 0 {
				return fmt.Errorf("%w: bucket number %d", ErrBadSnapshot, ring.Newest)
			}
		}
	}
	return nil
}

func compareKeys(a, b Key) int {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Objective), string(b.Objective)); c != 0 {
		return c
	}
	return strings.Compare(a.FailureDomain, b.FailureDomain)
}
