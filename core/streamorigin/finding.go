package streamorigin

// Finding is what hosts know about the software version at which a stream may go on. In
// the zero value nothing is known.
type Finding struct {
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
// unknown. listed are the software versions of the servers that are listed now: if hosts
// know of no other version, the only one began the stream.
func (f Finding) Resolve(listed []string) (version string, ok bool) {
	switch {
	case f.IsFound:
		return f.SoftwareVersion, true
	case f.IsSole:
		return f.SoleVersion, true
	case !f.IsMixed && len(listed) == 1:
		return listed[0], true
	default:
		return "", false
	}
}
