package config

import (
	"errors"

	"github.com/zeebo/errs"
)

const maxNameBytes = 63

var (
	// ErrInvalid marks configuration that fails its checks.
	ErrInvalid = invalid.Instance()
	// ErrRevision marks a change whose revision is not the next one.
	ErrRevision = outOfOrder.Instance()
	// ErrConflict marks an edit whose base is not the current revision of its
	// entry.
	ErrConflict = errors.New("configuration conflict")

	invalid    = errs.Class("invalid configuration")
	outOfOrder = errs.Class("configuration revision")
)

// Conflict is the error for an edit of an entry that another operator changed
// after the revision Base, which the edit is based on.
type Conflict struct {
	Kind    Kind
	Name    string
	Base    uint64
	Current uint64
}
