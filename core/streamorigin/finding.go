package streamorigin

type (
	// Finding is what hosts know about the software version at which a stream may go on. In
	// the zero value nothing is known.
	Finding struct {
		// IsFound is set if the origin of the stream is known. SoftwareVersion is the
		// version that began it.
		IsFound         bool
		SoftwareVersion string
		// IsSole is set if all servers of the service had the same software version,
		// SoleVersion, during the requested window.
		IsSole      bool
		SoleVersion string
		// IsMixed is set if servers of the service had more than one software version
		// during the window. IsSole is then not set.
		IsMixed bool
	}

	// Stored is what the store knows about the software version at which a stream may go on.
	// It is at least as new as the stream.
	Stored struct {
		// Record is the record of the service, or nil if the store has none.
		Record *Record
		// Era is the era of the store.
		Era uint64
		// IsFound is set if a host has written the origin of the stream to the store.
		// SoftwareVersion is the version that began it.
		IsFound         bool
		SoftwareVersion string
	}
)

// Merge adds the finding of another host. Two hosts that know different sole versions
// show that the service had both.
func (f Finding) Merge(other Finding) Finding {
	merged := f
	if !f.IsFound {
		merged.IsFound, merged.SoftwareVersion = other.IsFound, other.SoftwareVersion
	}
	merged.IsMixed = f.IsMixed || other.IsMixed || (f.IsSole && other.IsSole && f.SoleVersion != other.SoleVersion)
	if !f.IsSole {
		merged.IsSole, merged.SoleVersion = other.IsSole, other.SoleVersion
	}
	if merged.IsMixed {
		merged.IsSole, merged.SoleVersion = false, ""
	}
	return merged
}

// Resolve returns the software version at which the stream may go on, or false if that is
// unknown. stored is nil if the store could not be read, and hasOthers is set if the finding
// includes that of another host. A complete record is newer than what hosts conclude from their
// lists of servers, which may be seconds old. A host that hears neither from the store nor from
// other hosts may have missed a version.
func (f Finding) Resolve(stored *Stored, hasOthers bool) (version string, ok bool) {
	switch {
	case f.IsFound:
		return f.SoftwareVersion, true
	case stored != nil && stored.IsFound:
		return stored.SoftwareVersion, true
	case stored != nil && stored.IsSole():
		sole := stored.Record.Versions[0]
		if f.IsMixed || f.IsSole && f.SoleVersion != sole {
			return "", false
		}
		return sole, true
	case stored != nil && stored.Record != nil && len(stored.Record.Versions) > 1:
		return "", false
	case f.IsSole && (hasOthers || stored != nil):
		return f.SoleVersion, true
	default:
		return "", false
	}
}

// IsSole reports whether only one version may have begun streams.
func (s *Stored) IsSole() bool {
	return s.Record != nil && s.Record.IsComplete && s.Record.Era == s.Era && len(s.Record.Versions) == 1
}
