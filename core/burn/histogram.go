package burn

import (
	"cmp"
	"fmt"
	"slices"
)

type (
	// Histogram counts values by the bucket ranges of the metrics library,
	// such as "1.000e-02...1.136e-02". Histograms of several hosts can be merged.
	Histogram map[string]uint64

	bucketRange struct {
		upper float64
		count uint64
	}
)

// Merge adds the counts of another histogram.
func (h Histogram) Merge(other Histogram) {
	for name, count := range other {
		h[name] += count
	}
}

// Total returns the number of values.
func (h Histogram) Total() uint64 {
	var total uint64
	for _, count := range h {
		total += count
	}
	return total
}

// Quantile returns the upper bound of the bucket that holds quantile q, from 0
// to 1, of the values; 0 for an empty histogram.
func (h Histogram) Quantile(q float64) float64 {
	total := h.Total()
	var seen uint64
	var bound float64
	for _, b := range h.sorted() {
		seen += b.count
		bound = b.upper
		if float64(seen) >= q*float64(total) {
			break
		}
	}
	return bound
}

// sorted returns the buckets in ascending order. It skips names that can't be
// parsed.
func (h Histogram) sorted() []bucketRange {
	buckets := make([]bucketRange, 0, len(h))
	for name, count := range h {
		var lower, upper float64
		if _, err := fmt.Sscanf(name, "%g...%g", &lower, &upper); err != nil {
			continue
		}
		buckets = append(buckets, bucketRange{upper: upper, count: count})
	}
	slices.SortFunc(buckets, func(a, b bucketRange) int { return cmp.Compare(a.upper, b.upper) })
	return buckets
}
