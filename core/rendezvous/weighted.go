package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Choice is a name among which keys are distributed in proportion to the weights.
type Choice struct {
	Name string
	// Weight is above zero and finite.
	Weight float64
}

// Choose returns the name that key is assigned to, or "" without choices. When one weight
// changes, only keys move that the name gains or loses. The order of the choices does not
// matter if their names differ.
func Choose(key string, choices []Choice) string {
	hash := xxhash.Sum64String(key)
	best, name := math.Inf(-1), ""
	for _, c := range choices {
		// The highest log(weight) - log(-log(u)) wins with a probability in proportion to the
		// weight. Unlike -weight/log(u), which has the same order, it can't overflow.
		score := math.Log(c.Weight) - math.Log(-math.Log(fraction(mix(hash^xxhash.Sum64String(c.Name)))))
		if score > best {
			best, name = score, c.Name
		}
	}
	return name
}

// fraction maps a hash to a number between 0 and 1, both excluded. It uses 52 bits: with one
// half added, they are the most that a float64 holds without rounding to 1.
func fraction(hash uint64) float64 {
	return (float64(hash>>12) + 0.5) / (1 << 52)
}
