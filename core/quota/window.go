package quota

import "time"

// slotCount is the number of slots of a window. A sum includes up to one slot more.
const slotCount = 8

// windowSum sums what was added in a sliding window, in slots of equal length.
type windowSum struct {
	slot  time.Duration
	last  int64 // number of the newest slot
	slots [slotCount + 1]float64
}

func newWindowSum(window time.Duration) windowSum {
	return windowSum{slot: max(window/slotCount, time.Millisecond)}
}

func (w *windowSum) add(now time.Time, value float64) {
	w.advance(now)
	w.slots[w.last%int64(len(w.slots))] += value
}

func (w *windowSum) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, value := range w.slots {
		total += value
	}
	return total
}

// advance empties the slots that have left the window.
func (w *windowSum) advance(now time.Time) {
	number := now.UnixNano() / int64(w.slot)
	for ; w.last < number; w.last++ {
		if number-w.last > int64(len(w.slots)) {
			w.last = number - int64(len(w.slots))
		}
		w.slots[(w.last+1)%int64(len(w.slots))] = 0
	}
}
