package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
	}
	return names
}

func TestHomesCount(t *testing.T) {
	tests := []struct {
		name           string
		hosts, n, want int
	}{
		{name: "no host", hosts: 0, n: 3},
		{name: "none requested", hosts: 5},
		{name: "negative number", hosts: 5, n: -1},
		{name: "fewer hosts than requested", hosts: 2, n: 3, want: 2},
		{name: "more hosts than requested", hosts: 5, n: 3, want: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := rendezvous.New(hostNames(tt.hosts)).Homes("key", tt.n); len(got) != tt.want {
				t.Errorf("homes %v, want %d", got, tt.want)
			}
		})
	}
}

// TestHomesOfRandomSets checks that the homes are distinct, that the first one is the
// home, that they do not depend on the order of the names, and that a host that leaves
// changes only its own place.
func TestHomesOfRandomSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := hostNames(rapid.IntRange(1, 30).Draw(t, "hosts"))
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, 5).Draw(t, "n")
		set := rendezvous.New(names)
		all := set.Homes(key, len(names))
		if sorted := slices.Sorted(slices.Values(all)); !slices.Equal(sorted, set.Hosts()) {
			t.Fatalf("homes %v are not all hosts", all)
		}
		if all[0] != set.Home(key) {
			t.Fatalf("first of the homes is %s, want the home %s", all[0], set.Home(key))
		}
		if got, want := rendezvous.New(rapid.Permutation(names).Draw(t, "order")).Homes(key, n), all[:min(n, len(all))]; !slices.Equal(got, want) {
			t.Fatalf("homes %v, want %v", got, want)
		}
		left := rapid.SampledFrom(names).Draw(t, "left")
		isLeft := func(name string) bool { return name == left }
		remaining := slices.DeleteFunc(slices.Clone(all), isLeft)
		got := rendezvous.New(slices.DeleteFunc(slices.Clone(names), isLeft)).Homes(key, n)
		if want := remaining[:min(n, len(remaining))]; !slices.Equal(got, want) {
			t.Fatalf("homes %v after %s has left, want %v", got, left, want)
		}
	})
}

func TestHomesAreSpread(t *testing.T) {
	const hosts, n, keys = 20, 3, 20_000
	set := rendezvous.New(hostNames(hosts))
	counts := make(map[string]int)
	for i := range keys {
		for _, home := range set.Homes(fmt.Sprintf("%016x", i), n) {
			counts[home]++
		}
	}
	const mean = keys * n / hosts
	for _, name := range set.Hosts() {
		if c := counts[name]; c < mean*9/10 || c > mean*11/10 {
			t.Errorf("%s is a home of %d keys, want within 10%% of %d", name, c, mean)
		}
	}
}

func BenchmarkHomes(b *testing.B) {
	set := rendezvous.New(hostNames(360))
	b.ReportAllocs()
	for b.Loop() {
		set.Homes("9c41d07be2a35f68", 3)
	}
}
