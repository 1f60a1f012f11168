// Package identity finds the workspace that a caller's key belongs to. Keys are kept and
// compared as hashes only. The command hickoryd edge uses it.
package identity

import (
	"crypto/sha256"
	"slices"

	"github.com/hickoryfront/hickoryfront/core/quota"
)

type (
	// KeyHash is the SHA-256 hash of a key.
	KeyHash [sha256.Size]byte

	// Workspace is a group of callers with keys and a quota of their own.
	Workspace struct {
		Name string
		Keys []KeyHash
		// Priority ranks the requests of the workspace, 0 first, or is nil if their routes do.
		Priority *int
		Quota    quota.Limit
		// PlainTokens is what a request that states no tokens counts for, if Quota counts tokens.
		PlainTokens int
	}

	// Directory finds workspaces by their keys. It is immutable.
	Directory struct {
		workspaces map[KeyHash]*Workspace
		ambiguous  [][]string
		isEnforced bool
	}
)

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// NewDirectory returns the directory of workspaces, which must not be modified afterwards. A
// key that several workspaces list belongs to none of them.
func NewDirectory(workspaces []Workspace) *Directory {
	d := &Directory{isEnforced: len(workspaces) > 0}
	if !d.isEnforced {
		return d
	}
	d.workspaces = make(map[KeyHash]*Workspace)
	shared := make(map[KeyHash][]string)
	for i := range workspaces {
		w := &workspaces[i]
		for _, key := range w.Keys {
			other, ok := d.workspaces[key]
			switch {
			case !ok:
				d.workspaces[key] = w
			case other.Name == w.Name:
			case shared[key] == nil:
				shared[key] = []string{other.Name, w.Name}
			case !slices.Contains(shared[key], w.Name):
				shared[key] = append(shared[key], w.Name)
			}
		}
	}
	for key, names := range shared {
		delete(d.workspaces, key)
		d.ambiguous = append(d.ambiguous, names)
	}
	slices.SortFunc(d.ambiguous, slices.Compare[[]string])
	d.ambiguous = slices.CompactFunc(d.ambiguous, slices.Equal[[]string])
	return d
}

// IsEnforced reports whether there are workspaces, so that requests need a key.
func (d *Directory) IsEnforced() bool {
	return d.isEnforced
}

// Find returns the workspace of a key. It returns false if the key belongs to none.
func (d *Directory) Find(hash KeyHash) (*Workspace, bool) {
	w, ok := d.workspaces[hash]
	return w, ok
}

// Ambiguous returns the names of the workspaces that share a key, each combination once.
func (d *Directory) Ambiguous() [][]string {
	return d.ambiguous
}
