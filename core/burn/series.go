package burn

import "time"

type (
	// Series counts the responses of one key in all windows.
	Series struct {
		Share float64    `json:"share"` // of responses that must be good
		Rings [3]Buckets `json:"rings"`
	}

	// Buckets is a ring buffer of counts. Buckets are numbered by wall time, so
	// that the rings of several hosts can be merged.
	Buckets struct {
		Newest int64              `json:"newest"`
		Counts [bucketCount]Count `json:"counts"`
	}

	// Point is the count of one bucket.
	Point struct {
		At    time.Time `json:"at"` // start of the bucket
		Count Count     `json:"count"`
	}
)

// Add counts one response.
func (s *Series) Add(now time.Time, good bool) {
	count := Count{Bad: 1}
	if good {
		count = Count{Good: 1}
	}
	for i, w := range Windows() {
		s.Rings[i].add(bucketNumber(now, w), count)
	}
}

// Merge adds the counts of another series. If s has no share, it takes the other
// one's.
func (s *Series) Merge(other *Series) {
	if s.Share == 0 {
		s.Share = other.Share
	}
	for i := range other.Rings {
		s.Rings[i].merge(&other.Rings[i])
	}
}

// Counts returns the counts of all windows, which end at now.
func (s *Series) Counts(now time.Time) [3]Count {
	var counts [3]Count
	for i, w := range Windows() {
		counts[i] = s.Rings[i].sum(bucketNumber(now, w))
	}
	return counts
}

// Points returns the buckets of the longest window, oldest first.
func (s *Series) Points(now time.Time) []Point {
	windows := Windows()
	last := len(windows) - 1
	width := windows[last].Length / bucketCount
	newest := bucketNumber(now, windows[last])
	points := make([]Point, 0, bucketCount)
	for number := newest - bucketCount + 1; number <= newest; number++ {
		at := time.Unix(0, number*int64(width)).UTC()
		points = append(points, Point{At: at, Count: s.Rings[last].at(number)})
	}
	return points
}

// add adds count to the bucket with this number. Counts of buckets that are older
// than the ring are dropped.
func (b *Buckets) add(number int64, count Count) {
	b.advance(number)
	if number > b.Newest-bucketCount {
		b.Counts[number%bucketCount].add(count)
	}
}

// advance makes number the newest bucket and clears the buckets that it replaces.
func (b *Buckets) advance(number int64) {
	if number-b.Newest >= bucketCount {
		b.Counts = [bucketCount]Count{}
		b.Newest = number
	}
	for b.Newest < number {
		b.Newest++
		b.Counts[b.Newest%bucketCount] = Count{}
	}
}

func (b *Buckets) merge(other *Buckets) {
	for number := max(0, other.Newest-bucketCount+1); number <= other.Newest; number++ {
		if count := other.at(number); count.Total() > 0 {
			b.add(number, count)
		}
	}
}

func (b *Buckets) at(number int64) Count {
	if number < 0 || number > b.Newest || number <= b.Newest-bucketCount {
		return Count{}
	}
	return b.Counts[number%bucketCount]
}

func (b *Buckets) sum(newest int64) Count {
	var total Count
	for number := newest - bucketCount + 1; number <= newest; number++ {
		total.add(b.at(number))
	}
	return total
}

// bucketNumber returns the number of the bucket of a window that now falls into.
func bucketNumber(now time.Time, w Window) int64 {
	return now.UnixNano() / int64(w.Length/bucketCount)
}
