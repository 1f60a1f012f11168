// Package outputlength estimates how many tokens a request will generate from its
// caller's hint, which is right at the median but often far off.
package outputlength

import "math"

const (
	// lengthDeviation and hintDeviation are the standard deviations of the
	// logarithms of the true length and of the hint's error, as specified for the
	// deployments.
	lengthDeviation = 0.7
	hintDeviation   = 0.5
	// initialMedianTokens is the median length that is assumed before any hint.
	initialMedianTokens = 500.0
	// medianStep is the relative change of the median with each hint.
	medianStep = 0.02
)

// Estimator estimates the median length from the hints. It is not safe for
// concurrent use.
type Estimator struct {
	median float64 // in tokens
}

// NewEstimator returns an estimator that has had no hints.
func NewEstimator() *Estimator {
	return &Estimator{median: initialMedianTokens}
}

// Expect returns the number of tokens that a request is expected to generate. hint is
// the caller's hint and limit the largest number that the request may generate; either
// is 0 if the caller gave none.
func (e *Estimator) Expect(hint, limit int) int {
	expected := e.median
	if hint > 0 {
		e.updateMedian(float64(hint))
		expected = e.posterior(float64(hint))
	}
	if limit > 0 {
		expected = min(expected, float64(limit))
	}
	return int(math.Ceil(expected))
}

// posterior returns the mean of the length given a hint, where the length and the
// hint's error have log-normal distributions.
func (e *Estimator) posterior(hint float64) float64 {
	const (
		lengthVariance = lengthDeviation * lengthDeviation
		hintVariance   = hintDeviation * hintDeviation
		hintWeight     = lengthVariance / (lengthVariance + hintVariance)
		variance       = lengthVariance * hintVariance / (lengthVariance + hintVariance)
	)
	return math.Exp((1-hintWeight)*math.Log(e.median) + hintWeight*math.Log(hint) + variance/2)
}

// updateMedian moves the median by one step towards a hint.
func (e *Estimator) updateMedian(hint float64) {
	if hint > e.median {
		e.median *= 1 + medianStep
	} else {
		e.median /= 1 + medianStep
	}
}
