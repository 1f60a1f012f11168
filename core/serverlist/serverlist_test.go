package serverlist_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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
				l.Adopt(start, []serverlist.Server{*server("b")}, serverlist.Position{Revision: 12})
			},
		},
		{
			name: "an older list of another host is ignored",
			act:  func(l *serverlist.List) { l.Adopt(start, nil, serverlist.Position{Revision: 4}) },
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
	l.Adopt(start, []serverlist.Server{*server("a")}, serverlist.Position{Revision: 7})
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
	drained, restarted, unknown := draining("a"), server("a"), server("a")
	drained.StartedAt, restarted.StartedAt = start, start.Add(time.Minute)
	for name, update := range map[string]func(l *serverlist.List){
		"store": func(l *serverlist.List) {
			l.Apply(start, []serverlist.Change{{ID: "a", Server: restarted, Revision: 9}}, 9)
		},
		"other host": func(l *serverlist.List) {
			l.Adopt(start, []serverlist.Server{*restarted}, serverlist.Position{Revision: 9})
		},
	} {
		l := serverlist.NewList()
		l.Apply(start, []serverlist.Change{{ID: "a", Server: drained, Revision: 7}}, 7)
		l.Adopt(start, []serverlist.Server{*unknown}, serverlist.Position{Revision: 8})
		if _, takesWork := lookup(l, "a"); takesWork {
			t.Errorf("%s: takes work after a list without the time of its start", name)
		}
		update(l)
		if isListed, takesWork := lookup(l, "a"); !isListed || !takesWork {
			t.Errorf("%s: listed %t, takes work %t; want both", name, isListed, takesWork)
		}
	}
}

// When the store is replaced by an older copy of itself, revisions go back. A list that
// compares revisions only would ignore the store until it has caught up, and then miss what
// has changed meanwhile.
func TestStoreIsReplacedByCopy(t *testing.T) {
	const era = 2
	now := start.Add(10 * time.Second)
	registered := func(id string, created uint64) *serverlist.Server {
		s := server(id)
		s.CreateRevision = created
		return s
	}
	tests := []struct {
		name string
		// copied is the content of the copy, and later what servers write again.
		copied, later []serverlist.Change
		after         time.Duration // until the list is asked
		want          map[string]bool
	}{
		{
			name:   "new server",
			copied: []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}, {ID: "new", Server: registered("new", 6), Revision: 6}},
			want:   map[string]bool{"a": true, "new": true},
		},
		{
			name:   "server that the copy lacks registers again",
			copied: nil,
			later:  []serverlist.Change{{ID: "a", Server: registered("a", 8), Revision: 8}},
			after:  serverlist.ReregistrationPeriod,
			want:   map[string]bool{"a": true},
		},
		{name: "server that the copy lacks", copied: nil, want: map[string]bool{"a": true}},
		{name: "server that does not register again", copied: nil, after: serverlist.ReregistrationPeriod, want: map[string]bool{}},
		{
			name:   "drain that the copy lacks",
			copied: []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}, {ID: "draining", Server: server("draining"), Revision: 5}},
			want:   map[string]bool{"a": true, "draining": false},
		},
		{
			name:   "removal that the copy lacks",
			copied: []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}, {ID: "removed", Server: server("removed"), Revision: 5}},
			want:   map[string]bool{"a": true},
		},
		{
			name:   "removed server that registers again",
			copied: []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}},
			later:  []serverlist.Change{{ID: "removed", Server: registered("removed", 7), Revision: 7}},
			want:   map[string]bool{"a": true, "removed": true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := serverlist.NewList()
			l.BeginEra(start, era-1)
			l.Replace(start, []serverlist.Change{
				{ID: "a", Server: server("a"), Revision: 5}, {ID: "draining", Server: server("draining"), Revision: 5}, {ID: "removed", Server: server("removed"), Revision: 5},
			}, 90)
			l.Apply(start, []serverlist.Change{{ID: "draining", Server: draining("draining"), Revision: 92}, {ID: "removed", Revision: 93}}, 93)
			if _, isListed := tt.want["draining"]; !isListed {
				l.Apply(start, []serverlist.Change{{ID: "draining", Revision: 94}}, 94)
			}
			if !l.BeginEra(now, era) || l.BeginEra(now, era) {
				t.Error("the new era is not noticed, or twice")
			}
			l.Replace(now, tt.copied, 6)
			l.Apply(now, tt.later, 9)
			l.Expire(now.Add(tt.after))
			got := make(map[string]bool)
			for _, s := range l.Servers() {
				got[s.ID] = !s.IsDraining
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("servers that are listed, and whether they take work (-want +got):\n%s", diff)
			}
			if want := (serverlist.Position{Era: era, Revision: 9}); l.Position() != want {
				t.Errorf("position %v, want %v", l.Position(), want)
			}
		})
	}
}

// Another host's list of a newer era must replace one with a higher revision of the era
// before, and the other way round it must not.
func TestAdoptComparesEras(t *testing.T) {
	l := serverlist.NewList()
	l.BeginEra(start, 1)
	l.Replace(start, []serverlist.Change{{ID: "a", Server: server("a"), Revision: 5}}, 90)
	l.Adopt(start, []serverlist.Server{*server("b")}, serverlist.Position{Era: 2, Revision: 6})
	if isListed, _ := lookup(l, "b"); !isListed {
		t.Error("the list of the newer era is ignored")
	}
	l.Adopt(start, []serverlist.Server{*server("c")}, serverlist.Position{Era: 1, Revision: 95})
	if isListed, _ := lookup(l, "c"); isListed {
		t.Error("the list of the older era is taken")
	}
}
