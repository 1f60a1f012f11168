package admission

import "time"

const (
	// costDecay is the weight that one further sample leaves to the earlier ones.
	costDecay = 0.95
	// defaultCost is used until a service has a sample.
	defaultCost = 2 * time.Second
)

// CostModel learns how long the requests of each service hold a slot.
type CostModel struct {
	meanByService map[string]float64 // seconds
}

// NewCostModel returns a model without samples.
func NewCostModel() *CostModel {
	return &CostModel{meanByService: map[string]float64{}}
}

// Observe adds the time for which one request held its slot.
func (m *CostModel) Observe(service string, held time.Duration) {
	mean, ok := m.meanByService[service]
	if !ok {
		m.meanByService[service] = held.Seconds()
		return
	}
	m.meanByService[service] = mean*costDecay + held.Seconds()*(1-costDecay)
}

// Cost predicts how long a request of a service holds its slot, in seconds.
func (m *CostModel) Cost(service string) float64 {
	if mean, ok := m.meanByService[service]; ok {
		return mean
	}
	return defaultCost.Seconds()
}
