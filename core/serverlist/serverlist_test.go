package serverlist_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

var start = time.Unix(1000, 0)

func server(id string) *serverlist.Server {
	return &serverlist.Server{ID: id, Service: "s", CreateRevision: 5}
}

func draining(id string) *serverlist.Server {
	s := server(id)
	s.IsDraining = true
	return s
}

// lookup reports whether a server is listed, and whether the server takes work.
func lookup(l *serverlist.List, id string) (bool, bool) {
	for _, s := range l.Servers() {
		if s.ID == id {
			return true, !s.IsDraining
		}
	}
	return false, false
}

func TestRemovedRegistration(t *testing.T) {
	tests := []struct {
		name string
		act  func(l *serverlist.List)
		want bool
	}{
		{
			name: "removed while the store responds",
			act:  func(l *serverlist.List) { l.Apply(start, []serverlist.Change{{ID: "a", Revision: 9}}, 9) },
		},
		{
			name: "kept during an outage",
			act: func(l *serverlist.List) {
				l.MarkStoreUnavailable()
				l.Apply(start, []serverlist.Change{{ID: "a", Revision: 9}}, 9)
			},
			want: true,
		},
		{
			name: "kept shortly after an outage",
			act: func(l *serverlist.List) {
				l.MarkStoreUnavailable()
				l.MarkStoreAvailable(start)
				l.Replace(start.Add(time.Second), nil, 9)
				l.Expire(start.Add(2 * time.Second))
			},
			want: true,
		},
		{
			name: "removed if not registered again after an outage",
			act: func(l *serverlist.List) {
				l.MarkStoreUnavailable()
				l.MarkStoreAvailable(start)
				l.Replace(start.Add(time.Second), nil, 9)
				l.Expire(start.Add(serverlist.ReregistrationPeriod))
			},
		},
		{
			name: "kept if registered again after an outage",
			act: func(l *serverlist.List) {
				l.MarkStoreUnavailable()
				l.MarkStoreAvailable(start)
				l.Replace(start.Add(time.Second), nil, 9)
				l.Apply(start.Add(2*time.Second), []serverlist.Change{{ID: "a", Server: server("a"), Revision: 10}}, 10)
				l.Expire(start.Add(time.Minute))
			},
			want: true,
		},
		{
			name: "an older removal is ignored",
			act:  func(l *serverlist.List) { l.Apply(start, []serverlist.Change{{ID: "a", Revision: 3}}, 9) },
			want: true,
		},
		{
			name: "another host's list is adopted during an outage",
			act: func(l *serverlist.List) {
				l.MarkStoreUnavailable()
				l.Adopt([]serverlist.Server{*server("b")}, 12)
			},
		},
		{
			name: "an older list of another host is ignored",
			act:  func(l *serverlist.List) { l.Adopt(nil, 4) },
			want: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := serverlist.NewList()
			l.Apply(start, []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}}, 5)
			tt.act(l)
			if got, _ := lookup(l, "a"); got != tt.want {
				t.Errorf("listed %t, want %t", got, tt.want)
			}
		})
	}
}

// TestDrainIsFinal checks that a drain is not undone by a view of the same
// registration that was written or copied from another host before the drain.
// Only a new registration, with another CreateRevision, takes work again.
func TestDrainIsFinal(t *testing.T) {
	l := serverlist.NewList()
	l.Apply(start, []serverlist.Change{{ID: "a", Server: draining("a"), Revision: 5}}, 5)
	l.Apply(start, []serverlist.Change{{ID: "a", Server: server("a"), Revision: 6}}, 6)
	if _, takesWork := lookup(l, "a"); takesWork {
		t.Error("a draining server takes work again under the same registration")
	}
	l.Adopt([]serverlist.Server{*server("a")}, 7)
	if _, takesWork := lookup(l, "a"); takesWork {
		t.Error("another host's older list undoes a drain")
	}
	reregistered := server("a")
	reregistered.CreateRevision = 8
	l.Apply(start, []serverlist.Change{{ID: "a", Server: reregistered, Revision: 8}}, 8)
	if _, takesWork := lookup(l, "a"); !takesWork {
		t.Error("a new registration under the same id takes no work")
	}
}

// TestVersionChangesOnlyWithTheServers checks that renewals of a registration,
// which change its revision only, leave the version as it is. If they changed
// the version, every renewal would look like a change of the list.
func TestVersionChangesOnlyWithTheServers(t *testing.T) {
	l := serverlist.NewList()
	l.Apply(start, []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}}, 5)
	before := l.Version()
	l.Apply(start, []serverlist.Change{{ID: "a", Server: server("a"), Revision: 6}}, 6)
	if l.Version() != before {
		t.Error("a renewal changes the version")
	}
	l.Apply(start, []serverlist.Change{{ID: "a", Server: draining("a"), Revision: 7}}, 7)
	if l.Version() == before {
		t.Error("a drain does not change the version")
	}
}

// A server that starts again may keep its ID and its registration. What is known of the
// incarnation before, such as its drain, must not apply to the new one.
func TestRestartEndsDrain(t *testing.T) {
	restarted := server("a")
	restarted.StartedAt = start.Add(time.Minute)
	for name, update := range map[string]func(l *serverlist.List){
		"store": func(l *serverlist.List) {
			l.Apply(start, []serverlist.Change{{ID: "a", Server: restarted, Revision: 9}}, 9)
		},
		"other host": func(l *serverlist.List) { l.Adopt([]serverlist.Server{*restarted}, 9) },
	} {
		l := serverlist.NewList()
		l.Apply(start, []serverlist.Change{{ID: "a", Server: draining("a"), Revision: 7}}, 7)
		update(l)
		if isListed, takesWork := lookup(l, "a"); !isListed || !takesWork {
			t.Errorf("%s: listed %t, takes work %t; want both", name, isListed, takesWork)
		}
	}
}
