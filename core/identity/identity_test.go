package identity_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/identity"
)

func workspace(name string, keys ...string) identity.Workspace {
	w := identity.Workspace{Name: name}
	for _, key := range keys {
		w.Keys = append(w.Keys, identity.HashKey(key))
	}
	return w
}

// TestDirectory guards against a key that several workspaces list and that belongs to one of
// them, and against a document whose workspaces have no valid key and that requires none.
func TestDirectory(t *testing.T) {
	tests := []struct {
		name       string
		workspaces []identity.Workspace
		found      map[string]string // workspace by key, empty if there is none
		ambiguous  [][]string
	}{
		{name: "no workspaces", found: map[string]string{"k": ""}},
		{name: "no keys", workspaces: []identity.Workspace{{}}, found: map[string]string{"": "", "k": ""}},
		{name: "own keys", workspaces: []identity.Workspace{workspace("a", "k", "l"), workspace("b", "m")}, found: map[string]string{"k": "a", "l": "a", "m": "b", "n": "", "K": ""}},
		{name: "a key twice in one workspace", workspaces: []identity.Workspace{workspace("a", "k", "k")}, found: map[string]string{"k": "a"}},
		{
			name: "shared keys", workspaces: []identity.Workspace{workspace("b", "k", "l", "own"), workspace("a", "k", "l"), workspace("c", "l", "m"), workspace("d", "m", "k")},
			found: map[string]string{"k": "", "l": "", "m": "", "own": "b"}, ambiguous: [][]string{{"b", "a", "c"}, {"b", "a", "d"}, {"c", "d"}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := identity.NewDirectory(tt.workspaces)
			if got, want := d.IsEnforced(), len(tt.workspaces) > 0; got != want {
				t.Errorf("enforced %t, want %t", got, want)
			}
			for key, want := range tt.found {
				got := ""
				if w, ok := d.Find(identity.HashKey(key)); ok {
					got = w.Name
				}
				if got != want {
					t.Errorf("key %q belongs to %q, want %q", key, got, want)
				}
			}
			if diff := cmp.Diff(tt.ambiguous, d.Ambiguous()); diff != "" {
				t.Errorf("ambiguous (-want +got):\n%s", diff)
			}
		})
	}
}
