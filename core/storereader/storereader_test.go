package storereader_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/storereader"
)

func fleet(hosts, domains int) []storereader.Host {
	var all []storereader.Host
	for i := range hosts {
		all = append(all, storereader.Host{
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.%d:1", i%domains, i/250, 1+i%250)), FailureDomain: fmt.Sprint("domain-", i%domains),
		})
	}
	return all
}

// TestReadersFollowFromDomains checks that the number of readers follows from the failure
// domains, that readers are of the domain of their followers, and that no reader has many more
// followers than the others.
func TestReadersFollowFromDomains(t *testing.T) {
	for _, tt := range []struct{ hosts, domains, readers int }{
		{1, 1, 1}, {7, 4, 7}, {7, 3, 7}, {6, 1, 3}, {63, 4, 12}, {77, 4, 12}, {295, 6, 18}, {1000, 19, 57},
	} {
		t.Run(fmt.Sprintf("%d hosts in %d domains", tt.hosts, tt.domains), func(t *testing.T) {
			all := fleet(tt.hosts, tt.domains)
			domainOf := make(map[netip.AddrPort]string)
			for _, h := range all {
				domainOf[h.Address] = h.FailureDomain
			}
			readers, followers := 0, make(map[netip.AddrPort]int)
			for _, h := range all {
				role := storereader.RoleOf(h, all)
				chosen := role.Follows
				if len(chosen) == 0 {
					readers++
					continue
				}
				if role.HasFollowers {
					t.Errorf("host %v follows others and has followers", h.Address)
				}
				if len(chosen) != storereader.Readers {
					t.Fatalf("host %v follows %d hosts", h.Address, len(chosen))
				}
				followers[chosen[0]]++
				for _, reader := range chosen {
					if domainOf[reader] != h.FailureDomain || reader == h.Address {
						t.Errorf("host %v of %s follows %v of %s", h.Address, h.FailureDomain, reader, domainOf[reader])
					}
					if !storereader.RoleOf(storereader.Host{Address: reader, FailureDomain: h.FailureDomain}, all).HasFollowers {
						t.Errorf("host %v follows %v, which does not read for others", h.Address, reader)
					}
				}
			}
			if readers != tt.readers {
				t.Errorf("%d hosts read the store, want %d", readers, tt.readers)
			}
			mean := float64(tt.hosts-readers) / float64(readers)
			for reader, n := range followers {
				if float64(n) > 3*mean {
					t.Errorf("%v has %d followers, mean %.1f", reader, n, mean)
				}
			}
		})
	}
}

// TestUnlistedHostReadsItself checks a host that the list does not have yet.
func TestUnlistedHostReadsItself(t *testing.T) {
	self := storereader.Host{Address: netip.MustParseAddrPort("10.9.9.9:1"), FailureDomain: "domain-0"}
	if got := storereader.RoleOf(self, fleet(63, 2)); got.Follows != nil || got.HasFollowers {
		t.Errorf("role %+v, want none", got)
	}
}

// TestReaderLeaves checks that the followers of a reader that leaves follow another one, and
// that most of the other hosts keep theirs.
func TestReaderLeaves(t *testing.T) {
	all := fleet(60, 1)
	gone := storereader.RoleOf(all[0], all).Follows
	if gone == nil {
		gone = storereader.RoleOf(all[1], all).Follows
	}
	var left []storereader.Host
	for _, h := range all {
		if h.Address != gone[0] {
			left = append(left, h)
		}
	}
	moved := 0
	for _, h := range left {
		before, after := storereader.RoleOf(h, all).Follows, storereader.RoleOf(h, left).Follows
		if len(after) > 0 && after[0] == gone[0] {
			t.Errorf("%v follows a host that has left", h.Address)
		}
		if len(before) > 0 && len(after) > 0 && before[0] != gone[0] && before[0] != after[0] {
			moved++
		}
	}
	if moved > len(left)/2 {
		t.Errorf("%d of %d hosts follow another reader", moved, len(left))
	}
}
