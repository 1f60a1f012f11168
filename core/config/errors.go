package config

import (
	"errors"

	"github.com/zeebo/errs"
)

const maxNameBytes = 63

var (
	// ErrInvalid marks configuration that fails its checks.
	ErrInvalid = invalid.Instance()
	// ErrRevision marks a change that does not follow the current revision.
	ErrRevision = outOfOrder.Instance()
	// ErrConflict marks an edit whose base is not the current revision.
	ErrConflict = errors.New("configuration conflict")

	invalid    = errs.Class("invalid configuration")
	outOfOrder = errs.Class("configuration revision")
)

// Conflict says which entry another operator changed first.
type Conflict struct {
	Kind    Kind
	Name    string
	Base    uint64
	Current uint64
}
