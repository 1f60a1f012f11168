package config

import (
	"cmp"
	"fmt"
)

// Apply returns the document after change. The receiver is left unchanged.
// It fails with ErrConflict when an edit's base is not the entry's revision
// and with ErrInvalid when the result would not be whole.
func (d *Document) Apply(change Change) (*Document, error) {
	if change.Revision != d.Revision+1 {
		return nil, outOfOrder.New("change %d does not follow revision %d", change.Revision, d.Revision)
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
	default:
		return invalid.New("unknown kind %q: use profile, service, workspace or host", e.Kind)
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
