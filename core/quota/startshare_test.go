package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestBoundHoldsAtStarts guards against hosts that admit, all together, more than the bounds
// tolerate while homes do not grant yet.
func TestBoundHoldsAtStarts(t *testing.T) {
	disturbances := []struct {
		name    string
		disturb func(s *simulation, second int)
	}{
		// Registrations have lapsed, so that the hosts read lists that lack most of the others.
		{"hosts start after a loss of power", func(s *simulation, second int) {
			switch second % 40 {
			case 10:
				for _, h := range s.hosts {
					s.stop(h, true)
				}
			case 25:
				for _, h := range s.hosts {
					s.start(h)
					s.registered = append(slices.Clone(s.registered), h.address)
					s.readList(h)
				}
			}
		}},
		// Half of the hosts reach only one home, which does not grant.
		{"hosts reach only a home that starts", func(s *simulation, second int) {
			homes := s.homes(s.workspaces[0])
			if second == 10 && len(homes) == 3 {
				for i, h := range s.hosts {
					h.isCut = i%2 == 0
				}
				homes[0].isCut = true
				homes[1].isCut, homes[2].isCut = false, false
			}
			if second >= 10 && second%2 == 0 {
				for _, h := range s.hosts {
					if h.isCut && slices.Contains(h.groups.Homes(h.groups.Group(s.workspaces[0].name)), h.address) {
						s.start(h)
						h.list = s.registered
						h.readAt = s.now.Add(time.Hour)
					}
				}
			}
		}},
		{"all hosts restart twice in a window", func(s *simulation, second int) {
			if second%30 == 10 || second%30 == 15 {
				for _, h := range s.hosts {
					s.start(h)
				}
			}
		}},
		// The homes restart, and are cut off as soon as they have been asked.
		{"homes start and fall silent", func(s *simulation, second int) {
			for _, home := range s.homes(s.workspaces[0]) {
				switch second % 30 {
				case 10:
					s.start(home)
				case 11:
					home.frozenUntil = s.now.Add(10 * time.Second)
				}
			}
		}},
	}
	for _, d := range disturbances {
		for _, hosts := range []int{7, 75} {
			for _, workspace := range []func(float64) *simulatedWorkspace{large, small} {
				for _, load := range []float64{3, 30} {
					w := workspace(load)
					t.Run(fmt.Sprintf("%s/%d hosts/%s/load %v", d.name, hosts, w.name, load), func(t *testing.T) {
						t.Parallel()
						s := newSimulation(1, hosts, w)
						s.run(50*time.Second, func(second int) { d.disturb(s, second) })
						most := w.most(start)
						t.Logf("at most %.3f of what is allowed", most/allowed(w.limit))
						if most > allowed(w.limit) {
							t.Errorf("%.0f units in %v, allowed %.0f", most, bounds.Window, allowed(w.limit))
						}
					})
				}
			}
		}
	}
}
