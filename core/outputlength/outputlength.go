// Package outputlength estimates how many tokens a request will generate from its
// caller's hint, which is right at the median but often far off.
package outputlength

import "math"

const (
	// spreadTrue and spreadHint are the standard deviations of the logarithms of
	// the true length and of the hint's error, from the deployments' sheets.
	spreadTrue = 0.7
	spreadHint = 0.5
	// initialMedian is the median length in tokens before hints were seen.
	initialMedian = 500.0
	// step is the weight of the newest hint in the median.
	step = 0.02
)

// Estimator learns the usual length from the hints. It is not safe for
// concurrent use.
type Estimator struct {
	median float64
}

// NewEstimator returns an estimator that has seen no hint.
func NewEstimator() *Estimator {
	return &Estimator{median: initialMedian}
}

// Expect returns the expected tokens of a request with a hint, or 0, and the
// most that it may generate.
func (e *Estimator) Expect(hint, most int) int {
	expected := e.median
	if hint > 0 {
		e.learn(float64(hint))
		expected = e.posterior(float64(hint))
	}
	if most > 0 {
		expected = min(expected, float64(most))
	}
	return int(math.Ceil(expected))
}

// posterior returns the mean of the length where both length and hint are
// spread log-normally.
func (e *Estimator) posterior(hint float64) float64 {
	const (
		varianceTrue = spreadTrue * spreadTrue
		varianceHint = spreadHint * spreadHint
		trust        = varianceTrue / (varianceTrue + varianceHint)
		remaining    = varianceTrue * varianceHint / (varianceTrue + varianceHint)
	)
	return math.Exp((1-trust)*math.Log(e.median) + trust*math.Log(hint) + remaining/2)
}

// learn moves the median by a step towards the hint's side.
func (e *Estimator) learn(hint float64) {
	if hint > e.median {
		e.median *= 1 + step
	} else {
		e.median /= 1 + step
	}
}
