package policybench

import (
	"runtime"
	"sync"
	"time"
)

type (
	// Matrix is a set of runs, one for each combination of the listed values.
	Matrix struct {
		Deployments []Deployment
		Policies    []string
		Loads       []float64
		Routers     []int
		Faults      []bool
		LoseDomain  bool
		Length      time.Duration
		Seed        uint64
		Workers     int // concurrent runs; 0: half of the processors
	}

	// worker executes runs until none is left.
	worker struct {
		runs    []Run
		results []Result
		next    *int
		mu      *sync.Mutex
	}
)

// Runs returns the runs of the matrix in order.
func (m Matrix) Runs() []Run {
	var runs []Run
	for _, d := range m.Deployments {
		for _, faults := range m.Faults {
			for _, routers := range m.Routers {
				for _, load := range m.Loads {
					for _, policy := range m.Policies {
						runs = append(runs, Run{
							Deployment: d, Policy: policy, Load: load, Routers: routers, Faults: faults,
							LoseDomain: m.LoseDomain,
							Length:     m.Length, Seed: m.Seed,
						})
					}
				}
			}
		}
	}
	return runs
}

// Execute executes all runs. The result of each run is deterministic and doesn't
// depend on the order of execution.
func (m Matrix) Execute() []Result {
	w := worker{runs: m.Runs(), next: new(int), mu: &sync.Mutex{}}
	w.results = make([]Result, len(w.runs))
	workers := m.Workers
	if workers <= 0 {
		workers = max(1, runtime.NumCPU()/2)
	}
	var group sync.WaitGroup
	for range workers {
		group.Go(w.run)
	}
	group.Wait()
	return w.results
}

func (w worker) run() {
	for {
		w.mu.Lock()
		at := *w.next
		*w.next++
		w.mu.Unlock()
		if at >= len(w.runs) {
			return
		}
		w.results[at] = Execute(w.runs[at])
	}
}
