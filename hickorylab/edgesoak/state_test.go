package edgesoak_test

import (
	"encoding/json"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
)

// TestState guards against a host state report without the configuration, servers or
// hosts that the host knows, and against one that misses a change of the
// configuration.
func TestState(t *testing.T) {
	e := startEnvironment(t, retrySlacks[0])
	for i := range hostCount {
		e.await("the host knows configuration, servers and hosts", func() bool {
			s := e.state(i)
			return s.IsReady && s.Configuration.Version == 1 && s.Configuration.Routes == 4 &&
				len(s.Servers) == len(e.plainServers)+len(e.modelServers) && len(s.Hosts) == hostCount
		})
	}
	e.store.Put("op/config", configuration(2, "shop"))
	for i := range hostCount {
		e.await("the host has the new configuration", func() bool { return e.state(i).Configuration.Version == 2 })
	}
}

// state returns a host's state, or an empty one if the host does not respond.
func (e *environment) state(i int) hoststate.State {
	var s hoststate.State
	response, err := e.client.Get("http://" + e.hostPort(i, 18083) + hoststate.Path)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		e.tb.Errorf("state of host %d: %v", i, err)
	}
	return s
}

// TestStoreRefusesOneHost guards against a fault of the soak that has no effect: the store
// tells the hosts apart by the addresses from which they call.
func TestStoreRefusesOneHost(t *testing.T) {
	t.Parallel()
	e := startEnvironment(t, retrySlacks[0])
	e.store.SetMode(e.hostAddress(1), metastore.Refuse)
	e.await("the host has detected that the store refuses its calls", func() bool { return e.state(1).Store.IsUnreachable })
	for _, i := range []int{0, 2} {
		if e.state(i).Store.IsUnreachable {
			t.Errorf("host %d can't reach the store, though only host 1 is refused", i)
		}
	}
}
