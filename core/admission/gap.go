// Package admission decides which requests are accepted and in what order they
// are placed: by predicted completion against the targets, by class and age,
// and by fair shares between workspaces. The command hickoryd serve uses it, for the
// engines of a platform with the Consul HTTP API. In hickoryd edge, core/capacitywait
// decides how long a request waits and when it is refused.
package admission

import (
	"math"
	"time"
)

const (
	// gapDecay is the weight that one further sample leaves to the earlier ones.
	gapDecay = 0.99
	// minBatchVariance is the variance of batch sizes below which no slope is
	// fitted.
	minBatchVariance = 0.5
	// targetShare is the share of the target that the predicted gap may use.
	targetShare = 0.99
	// maxExtrapolation is the number of requests by which a limit may exceed the
	// largest batch observed.
	maxExtrapolation = 4
)

// GapModel learns the time between tokens as a linear function of the batch
// size, by least squares with exponential forgetting.
type GapModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
	largestBatch                     int
}

// Observe adds one step of a batch.
func (m *GapModel) Observe(batch int, gap time.Duration) {
	if batch <= 0 || gap <= 0 {
		return
	}
	x, y := float64(batch), gap.Seconds()
	m.weight = m.weight*gapDecay + 1
	m.sumX = m.sumX*gapDecay + x
	m.sumY = m.sumY*gapDecay + y
	m.sumXX = m.sumXX*gapDecay + x*x
	m.sumXY = m.sumXY*gapDecay + x*y
	m.largestBatch = max(m.largestBatch, batch)
}

// Gap predicts the time between tokens for a batch size. It returns 0 before any
// sample.
func (m *GapModel) Gap(batch int) time.Duration {
	intercept, slope, ok := m.fit()
	if !ok {
		return 0
	}
	return time.Duration((intercept + slope*float64(batch)) * float64(time.Second))
}

// MaxBatch returns the largest batch of at most slots requests whose predicted
// gap stays within target. It returns slots while no slope is known.
func (m *GapModel) MaxBatch(target time.Duration, slots int) int {
	intercept, slope, ok := m.fit()
	if !ok || slope <= 0 || target <= 0 {
		return slots
	}
	batch := int(math.Floor((target.Seconds()*targetShare - intercept) / slope))
	batch = min(batch, m.largestBatch+maxExtrapolation)
	return max(1, min(slots, batch))
}

// fit returns the regression line, in seconds and seconds per request.
func (m *GapModel) fit() (intercept, slope float64, ok bool) {
	if m.weight <= 0 {
		return 0, 0, false
	}
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	variance := m.sumXX/m.weight - meanX*meanX
	if variance < minBatchVariance {
		return meanY, 0, true
	}
	slope = (m.sumXY/m.weight - meanX*meanY) / variance
	return meanY - slope*meanX, slope, true
}
