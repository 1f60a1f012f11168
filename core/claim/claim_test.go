package claim_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

// TestKeyIsGrantedOnce claims random keys in random order and checks that no key
// is granted to two requests within its horizon.
func TestKeyIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := claim.NewTable(100)
		granted := map[claim.Key]string{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			key := claim.Key{Value: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")}
			id := rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "request")
			switch rapid.IntRange(0, 1).Draw(t, "step") {
			case 0:
				outcome, _, err := table.Claim(now, claim.Grant{Key: key, RequestID: id, Horizon: time.Hour})
				if err != nil {
					t.Fatal(err)
				}
				if holder, ok := granted[key]; outcome == claim.Granted && ok && holder != id {
					t.Fatalf("key %v was granted to %s and to %s", key, holder, id)
				}
				if outcome == claim.Granted {
					granted[key] = id
				}
			case 1:
				table.Settle(key, id, &claim.Response{Status: 200}, false)
			}
			now = now.Add(time.Second)
		}
	})
}

// TestStoredResponsesAreLimited settles more responses than a table stores. A key
// whose response was dropped must not be granted again.
func TestStoredResponsesAreLimited(t *testing.T) {
	const megabyte, keys = 1 << 20, 40
	now := time.Unix(1000, 0)
	table := claim.NewTable(100)
	wanted := func(i int) claim.Grant {
		return claim.Grant{Key: claim.Key{Value: string(rune('A' + i))}, RequestID: "first", Horizon: time.Hour}
	}
	for i := range keys {
		if _, _, err := table.Claim(now, wanted(i)); err != nil {
			t.Fatal(err)
		}
		table.Settle(wanted(i).Key, "first", &claim.Response{Status: 200, Body: make([]byte, megabyte)}, false)
	}
	kept := 0
	for i := range keys {
		again := wanted(i)
		again.RequestID = "second"
		outcome, _, err := table.Claim(now, again)
		switch {
		case err != nil || outcome == claim.Granted:
			t.Errorf("key %d: outcome %d, error %v", i, outcome, err)
		case outcome == claim.Settled:
			kept++
		}
	}
	if kept != 16 {
		t.Errorf("%d responses are kept, want 16", kept)
	}
}

// TestFullTableRefuses claims more keys than a table holds. The table must refuse
// the key beyond its limit, and grant it once the first key has expired.
func TestFullTableRefuses(t *testing.T) {
	now := time.Unix(1000, 0)
	table := claim.NewTable(1)
	first := claim.Grant{Key: claim.Key{Value: "a"}, RequestID: "1", Horizon: time.Minute}
	second := claim.Grant{Key: claim.Key{Value: "b"}, RequestID: "2", Horizon: time.Minute}
	if outcome, _, err := table.Claim(now, first); outcome != claim.Granted || err != nil {
		t.Fatalf("first key: outcome %d, error %v, want Granted", outcome, err)
	}
	if outcome, _, err := table.Claim(now, second); outcome != claim.Undecided || !errors.Is(err, claim.ErrTableFull) {
		t.Errorf("second key: outcome %d, error %v, want Undecided with ErrTableFull", outcome, err)
	}
	if outcome, _, err := table.Claim(now.Add(2*time.Minute), second); outcome != claim.Granted || err != nil {
		t.Errorf("second key, after the horizon of the first: outcome %d, error %v, want Granted", outcome, err)
	}
}

// TestFloodLeavesCapacityForOthers fills a table from one workspace, and then
// checks that other workspaces still get keys.
func TestFloodLeavesCapacityForOthers(t *testing.T) {
	const limit = 400
	now := time.Unix(1000, 0)
	table := claim.NewTable(limit)
	claimKeys := func(workspace string, count int) int {
		granted := 0
		for i := range count {
			outcome, _, _ := table.Claim(now, claim.Grant{
				Key: claim.Key{Workspace: workspace, Value: fmt.Sprint(i)}, RequestID: "r", Horizon: time.Minute,
			})
			if outcome == claim.Granted {
				granted++
			}
		}
		return granted
	}
	if got := claimKeys("flood", 2*limit); got != limit*3/4 {
		t.Errorf("the flood holds %d keys, want %d", got, limit*3/4)
	}
	for _, workspace := range []string{"boipara", "dutchpot"} {
		if got := claimKeys(workspace, 40); got != 40 {
			t.Errorf("workspace %s got %d of 40 keys", workspace, got)
		}
	}
}

// TestMergeCompletesGrant merges a grant from several sources in every order. The
// stored response must be there at the end.
func TestMergeCompletesGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	running := claim.Grant{Key: claim.Key{Value: "a"}, RequestID: "1", GrantedAt: now, Horizon: time.Hour}
	settled, dropped := running, running
	settled.Settled, settled.Response = true, &claim.Response{Status: 200}
	dropped.Settled = true
	sources := []claim.Grant{running, settled, dropped, settled.WithoutResponse()}
	for first := range sources {
		for second := range sources {
			table := claim.NewTable(10)
			table.Merge(sources[first])
			table.Merge(sources[second])
			table.Merge(settled)
			if held, ok := table.Lookup(now, running.Key); !ok || held.Response == nil {
				t.Errorf("sources %d and %d: %+v", first, second, held)
			}
		}
	}
	if settled.Response == nil || settled.WithoutResponse().Settled {
		t.Error("the journal's copy changed the grant, or is marked as settled")
	}
}
