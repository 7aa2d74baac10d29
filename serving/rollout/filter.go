package rollout

import "slices"

// Filter says upstreams of which versions a request may use. The zero Filter allows all.
type Filter struct {
	// IsActive is false if there is no roll-out.
	IsActive bool
	// HasCompleted is true if the roll-out was completed: all versions but Former may be
	// used.
	HasCompleted bool
	Former       []string
	// To is the new version, and UsesNew whether the request uses it.
	To      string
	UsesNew bool
	// MayFallBack is true if a request may use the other versions for lack of an upstream
	// of the new one.
	MayFallBack bool
}

// Allows reports whether a request may use upstreams of a version.
func (f Filter) Allows(version string) bool {
	switch {
	case !f.IsActive:
		return true
	case f.HasCompleted:
		return !slices.Contains(f.Former, version)
	default:
		return (version == f.To) == f.UsesNew
	}
}
