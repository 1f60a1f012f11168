// Package quota keeps workspaces to their quotas, which hold over all hosts together. The
// command hickoryd edge uses it.
package quota

import "errors"

// Units in which a quota is counted.
const (
	// Requests counts each request as 1.
	Requests Unit = iota
	// Tokens counts the tokens of a request.
	Tokens
)

type (
	// Unit is what a quota counts.
	Unit int

	// Limit is the quota of a workspace.
	Limit struct {
		Unit Unit
		// Rate is in units a second, over all hosts together. Zero means no limit.
		Rate float64
		// Burst is the number of units that may be used at once.
		Burst float64
	}
)

// ErrNoHome means that a host is no home of a workspace, or does not grant its units yet.
var ErrNoHome = errors.New("the host does not grant units of this workspace; ask another home")
