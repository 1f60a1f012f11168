package admission

import "time"

const (
	// costMemory is the share of the past that one sample leaves in place.
	costMemory = 0.95
	// defaultCost serves until a service's cost is known.
	defaultCost = 2 * time.Second
)

// CostModel learns how long the requests of each service hold a slot.
type CostModel struct {
	byService map[string]float64 // seconds
}

// NewCostModel returns a model without samples.
func NewCostModel() *CostModel {
	return &CostModel{byService: map[string]float64{}}
}

// Observe takes in the time that one request held its slot.
func (m *CostModel) Observe(service string, held time.Duration) {
	mean, ok := m.byService[service]
	if !ok {
		m.byService[service] = held.Seconds()
		return
	}
	m.byService[service] = mean*costMemory + held.Seconds()*(1-costMemory)
}

// Cost predicts the slot time of a request in seconds.
func (m *CostModel) Cost(service string) float64 {
	if mean, ok := m.byService[service]; ok {
		return mean
	}
	return defaultCost.Seconds()
}
