// Package admission decides which requests are taken in and in what order they
// are placed: by predicted completion against the targets, by class and age,
// and by fair shares between workspaces.
package admission

import (
	"math"
	"time"
)

const (
	// gapMemory is the share of the past that one sample leaves in place.
	gapMemory = 0.99
	// minSpread is the variance of batch sizes below which no slope is fitted.
	minSpread = 0.5
	// gapMargin keeps the predicted gap below the target.
	gapMargin = 0.99
	// probeStep is how far a limit may go beyond the largest batch seen.
	probeStep = 4
)

// GapModel learns the time between tokens as a linear function of the batch
// size, by least squares with exponential forgetting.
type GapModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
	largest                          int
}

// Observe takes in one step of a batch.
func (m *GapModel) Observe(batch int, gap time.Duration) {
	if batch <= 0 || gap <= 0 {
		return
	}
	x, y := float64(batch), gap.Seconds()
	m.weight = m.weight*gapMemory + 1
	m.sumX = m.sumX*gapMemory + x
	m.sumY = m.sumY*gapMemory + y
	m.sumXX = m.sumXX*gapMemory + x*x
	m.sumXY = m.sumXY*gapMemory + x*y
	m.largest = max(m.largest, batch)
}

// Gap predicts the time between tokens of a batch, or 0 before any sample.
func (m *GapModel) Gap(batch int) time.Duration {
	base, slope, ok := m.line()
	if !ok {
		return 0
	}
	return time.Duration((base + slope*float64(batch)) * float64(time.Second))
}

// MaxBatch returns the largest batch of at most slots requests whose gap stays
// within target. Without knowledge it returns slots.
func (m *GapModel) MaxBatch(target time.Duration, slots int) int {
	base, slope, ok := m.line()
	if !ok || slope <= 0 || target <= 0 {
		return slots
	}
	fit := int(math.Floor((target.Seconds()*gapMargin - base) / slope))
	fit = min(fit, m.largest+probeStep)
	return max(1, min(slots, fit))
}

func (m *GapModel) line() (base, slope float64, ok bool) {
	if m.weight <= 0 {
		return 0, 0, false
	}
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	variance := m.sumXX/m.weight - meanX*meanX
	if variance < minSpread {
		return meanY, 0, true
	}
	slope = (m.sumXY/m.weight - meanX*meanY) / variance
	return meanY - slope*meanX, slope, true
}
