package outputlength_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/outputlength"
)

func TestExpectIsBounded(t *testing.T) {
	e := outputlength.NewEstimator()
	if got := e.Expect(9792, 2080); got > 2080 {
		t.Errorf("expects %d tokens, limit 2080", got)
	}
	if got := e.Expect(0, 2080); got <= 0 {
		t.Errorf("expects %d tokens without a hint", got)
	}
}

// TestExpectBeatsTheHint checks that the expected length is closer to the true
// length, on average, than the hint, which is often far off. Otherwise the
// estimate is no better than the hint alone.
func TestExpectBeatsTheHint(t *testing.T) {
	e := outputlength.NewEstimator()
	random := rand.New(rand.NewPCG(1, 2))
	var byHint, byExpectation float64
	for range 2000 {
		length := 500 * math.Exp(0.7*random.NormFloat64())
		hint := length * math.Exp(0.5*random.NormFloat64())
		expected := float64(e.Expect(int(hint), 0))
		byHint += math.Abs(hint - length)
		byExpectation += math.Abs(expected - length)
	}
	if byExpectation >= byHint {
		t.Errorf("mean error %.0f, by the hint alone %.0f", byExpectation/2000, byHint/2000)
	}
}
