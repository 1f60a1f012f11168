package claim_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

// TestKeyIsGrantedOnce claims random keys in random order and checks that no
// key is granted to two requests within its horizon.
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
				table.Settle(key, id, &claim.Answer{Status: 200}, false)
			}
			now = now.Add(time.Second)
		}
	})
}
