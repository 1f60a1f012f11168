// Package serverpath decides whether a host has lost its network paths to the backend servers
// of a service. A server that is only silent still accepts connections, so a check connects to
// a few servers: the paths are lost if none of them accepts. The command hickoryd edge uses
// it, for the backend servers of the users' platform.
package serverpath

import "time"

// checkPeriod is the least time between two checks of a service.
const checkPeriod = time.Second

type (
	// Table holds the results of the checks. It is not safe for concurrent use.
	Table struct {
		services map[string]*state
	}

	state struct {
		isChecking bool
		checkedAt  time.Time
		isLost     bool
	}
)

// NewTable returns a table in which no service was checked.
func NewTable() *Table {
	return &Table{services: make(map[string]*state)}
}

// Begin reports whether a service that is suspected at now to have lost its paths is to be
// checked: no check is in progress, and the last one ended long enough ago. The caller must
// record the result of the check.
func (t *Table) Begin(now time.Time, service string) bool {
	s, ok := t.services[service]
	if !ok {
		s = &state{}
		t.services[service] = s
	}
	if s.isChecking || now.Sub(s.checkedAt) < checkPeriod {
		return false
	}
	s.isChecking = true
	return true
}

// Record records at now the number of servers of a service that a check has tried to connect
// to and of those that have accepted. It reports whether the paths are now lost, and whether
// that has changed. While they are lost, the check goes on.
func (t *Table) Record(now time.Time, service string, tried, connected int) (isLost, isChanged bool) {
	s, ok := t.services[service]
	if !ok {
		return false, false
	}
	before := s.isLost
	s.isLost = tried > 0 && connected == 0
	s.isChecking, s.checkedAt = s.isLost, now
	return s.isLost, s.isLost != before
}

// IsLost reports whether the paths to the servers of a service are lost.
func (t *Table) IsLost(service string) bool {
	s, ok := t.services[service]
	return ok && s.isLost
}

// Lost returns the number of services to whose servers the paths are lost.
func (t *Table) Lost() int {
	count := 0
	for _, s := range t.services {
		if s.isLost {
			count++
		}
	}
	return count
}
