package edgesoak_test

import (
	"encoding/json"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
)

// TestState asks real hosts what they tell their operators.
func TestState(t *testing.T) {
	f := startFleet(t)
	for i := range hostCount {
		f.await("the host knows configuration, servers and hosts", func() bool {
			s := f.state(i)
			return s.IsReady && s.Configuration.Version == 1 && s.Configuration.Routes == 4 &&
				len(s.Servers) == len(f.plain)+len(f.models) && len(s.Hosts) == hostCount
		})
	}
	f.store.Put("op/config", configuration(2, "shop"))
	for i := range hostCount {
		f.await("the host has the new configuration", func() bool { return f.state(i).Configuration.Version == 2 })
	}
}

// state returns a host's state, or an empty one where it does not answer.
func (f *fleet) state(i int) hoststate.State {
	var s hoststate.State
	response, err := f.client.Get("http://" + f.address(1+i, 18083) + hoststate.Path)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		f.tb.Errorf("state of host %d: %v", i, err)
	}
	return s
}
