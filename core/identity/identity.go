// Package identity finds the workspace that a caller's key belongs to. Keys are kept and
// compared as hashes only. The command hickoryd edge uses it.
package identity

import (
	"crypto/sha256"

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
