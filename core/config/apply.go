package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Apply returns a copy of the document with change applied; d stays unchanged.
// It fails with ErrRevision when change does not follow the revision of d, with
// ErrConflict when the base of an edit is not the revision of its entry, and
// with ErrInvalid when an edit or the resulting document fails its checks.
func (d *Document) Apply(change Change) (*Document, error) {
	if change.Revision != d.Revision+1 {
		return nil, outOfOrder.New("change %d does not follow revision %d", change.Revision, d.Revision)
	}
	if err := change.checkSize(); err != nil {
		return nil, err
	}
	next := d.clone()
	next.Revision = change.Revision
	for _, edit := range change.Edits {
		if err := next.edit(edit, change.Revision); err != nil {
			return nil, err
		}
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	return next, nil
}

// Check returns the error that Apply would return if the base of every edit
// were the current revision of its entry. It validates texts before they are
// written.
func (d *Document) Check(edits []Edit) error {
	rebased := make([]Edit, 0, len(edits))
	for _, e := range edits {
		e.Base = d.Entries[EntryKey{e.Kind, e.Name}].Revision
		rebased = append(rebased, e)
	}
	_, err := d.Apply(Change{Revision: d.Revision + 1, Edits: rebased})
	return err
}

// TextBytes returns the total size of the entries' texts.
func (d *Document) TextBytes() int {
	size := 0
	for _, e := range d.Entries {
		size += len(e.Text)
	}
	return size
}

// TextBytes returns the total size of the edits' texts.
func (c Change) TextBytes() int {
	size := 0
	for _, e := range c.Edits {
		size += len(e.Text)
	}
	return size
}

func (c Change) checkSize() error {
	if len(c.Edits) == 0 {
		return invalid.New("the change has no edits")
	}
	if size := c.TextBytes(); size > MaxChangeBytes {
		return invalid.New("the change has %d bytes; split it into changes of at most %d", size, MaxChangeBytes)
	}
	seen := make(map[EntryKey]bool, len(c.Edits))
	for _, e := range c.Edits {
		key := EntryKey{e.Kind, e.Name}
		if seen[key] {
			return invalid.New("the change edits %s %q twice", e.Kind, e.Name)
		}
		seen[key] = true
	}
	return nil
}

func (d *Document) edit(edit Edit, revision uint64) error {
	key := EntryKey{edit.Kind, edit.Name}
	current := d.Entries[key]
	if current.Revision != edit.Base {
		return Conflict{Kind: edit.Kind, Name: edit.Name, Base: edit.Base, Current: current.Revision}
	}
	if edit.Text == "" {
		d.remove(key)
		return nil
	}
	return d.put(Entry{Kind: edit.Kind, Name: edit.Name, Text: edit.Text, Revision: revision})
}

func (d *Document) put(e Entry) error {
	if err := checkName(e.Name); err != nil {
		return err
	}
	switch e.Kind {
	case KindProfile:
		p, err := ParseProfile(e.Name, e.Text)
		if err != nil {
			return err
		}
		d.Profiles[e.Name] = p
	case KindService:
		s, err := ParseService(e.Name, e.Text)
		if err != nil {
			return err
		}
		d.Services[e.Name] = s
	case KindWorkspace:
		w, err := ParseWorkspace(e.Name, e.Text)
		if err != nil {
			return err
		}
		d.Workspaces[e.Name] = w
	case KindHost:
		h, err := ParseHost(e.Name, e.Text)
		if err != nil {
			return err
		}
		d.Hosts[e.Name] = h
	case KindPool:
		p, err := ParsePool(e.Name, e.Text)
		if err != nil {
			return err
		}
		d.Pools[e.Name] = p
	default:
		return invalid.New("unknown kind %q: use profile, service, workspace, host or pool", e.Kind)
	}
	d.Entries[EntryKey{e.Kind, e.Name}] = e
	return nil
}

func (d *Document) remove(key EntryKey) {
	delete(d.Entries, key)
	switch key.Kind {
	case KindProfile:
		delete(d.Profiles, key.Name)
	case KindService:
		delete(d.Services, key.Name)
	case KindWorkspace:
		delete(d.Workspaces, key.Name)
	case KindHost:
		delete(d.Hosts, key.Name)
	case KindPool:
		delete(d.Pools, key.Name)
	}
}

func (d *Document) checkReferences() error {
	for _, s := range d.Services {
		p, ok := d.Profiles[s.Profile]
		if !ok {
			return invalid.New("service %q: profile %q does not exist", s.Name, s.Profile)
		}
		if !s.Enabled && p.LegacyAddress == "" {
			return invalid.New("service %q is disabled, but profile %q has no legacy address", s.Name, p.Name)
		}
	}
	return d.checkPools()
}

// checkPools checks that each model has at most one pool. Otherwise a backend
// server would receive orders for two pools.
func (d *Document) checkPools() error {
	pools := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Pools)) {
		model := d.Pools[name].Model
		if other, ok := pools[model]; ok {
			return invalid.New("pool %q: [pool] model: %q has pool %q already", name, model, other)
		}
		pools[model] = name
	}
	return nil
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalid.New("name %q: use 1 to %d characters", name, maxNameBytes)
	}
	for _, r := range name {
		if !isNameRune(r) {
			return invalid.New("name %q: use letters, digits, '-', '_' and '.'", name)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}

// Error implements error.
func (c Conflict) Error() string {
	return fmt.Sprintf("%s %q was changed by another operator: your base is revision %d, the current one is %d; "+
		"get it again and repeat the change", c.Kind, c.Name, c.Base, c.Current)
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (c Conflict) Unwrap() error {
	return ErrConflict
}
