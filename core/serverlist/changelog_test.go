package serverlist_test

import (
	"testing"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// TestChangeLog checks which changes a host gets that has the list as of a position.
func TestChangeLog(t *testing.T) {
	const era = 3
	var log serverlist.ChangeLog
	log.Reset(serverlist.Position{Era: era, Revision: 10})
	for revision := uint64(11); revision <= 5010; revision++ {
		log.Append([]serverlist.Change{{ID: "s", Revision: revision}})
	}
	for name, tt := range map[string]struct {
		position serverlist.Position
		want     int
		ok       bool
	}{
		"up to date":                {serverlist.Position{Era: era, Revision: 5010}, 0, true},
		"newer":                     {serverlist.Position{Era: era, Revision: 5020}, 0, true},
		"a few behind":              {serverlist.Position{Era: era, Revision: 5000}, 10, true},
		"as far back as it goes":    {serverlist.Position{Era: era, Revision: 914}, 4096, true},
		"further back":              {serverlist.Position{Era: era, Revision: 913}, 0, false},
		"nothing":                   {serverlist.Position{Era: era}, 0, false},
		"an older copy's successor": {serverlist.Position{Era: era - 1, Revision: 5010}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			changes, ok := log.Since(tt.position)
			if ok != tt.ok || len(changes) != tt.want {
				t.Fatalf("%d changes, %t; want %d, %t", len(changes), ok, tt.want, tt.ok)
			}
			if len(changes) > 0 && changes[0].Revision != tt.position.Revision+1 {
				t.Errorf("the first is %d, want %d", changes[0].Revision, tt.position.Revision+1)
			}
		})
	}
}
