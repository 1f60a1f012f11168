package serverlist

// maxLoggedChanges is the number of changes that a ChangeLog holds: those of some minutes of a
// rolling replacement of all servers of a large fleet.
const maxLoggedChanges = 4096

// ChangeLog holds the newest changes of a list in the order of the store, for hosts that follow
// this one. It is not safe for concurrent use.
type ChangeLog struct {
	// from is the position after which no change is missing.
	from    Position
	changes []Change
}

// Reset drops all changes. The next ones follow position.
func (l *ChangeLog) Reset(position Position) {
	l.from, l.changes = position, nil
}

// Append adds changes that follow the ones before without a gap.
func (l *ChangeLog) Append(changes []Change) {
	l.changes = append(l.changes, changes...)
	if surplus := len(l.changes) - maxLoggedChanges; surplus > 0 {
		l.from.Revision = max(l.from.Revision, l.changes[surplus-1].Revision)
		l.changes = append([]Change(nil), l.changes[surplus:]...)
	}
}

// Since returns the changes after position. It returns false if some of them are missing.
func (l *ChangeLog) Since(position Position) ([]Change, bool) {
	if position.Era != l.from.Era || position.Revision < l.from.Revision || position.Revision == 0 {
		return nil, false
	}
	for i, c := range l.changes {
		if c.Revision > position.Revision {
			return l.changes[i:], true
		}
	}
	return nil, true
}
