package rollout

// Filter says upstreams of which versions a request may use. The zero Filter allows all.
type Filter struct {
	// IsActive is false if there is no roll-out.
	IsActive bool
	// To is the new version, and UsesNew whether the request uses it.
	To      string
	UsesNew bool
	// MayFallBack is true if a request may use the other versions for lack of an upstream
	// of the new one.
	MayFallBack bool
}

// Allows reports whether a request may use upstreams of a version.
func (f Filter) Allows(version string) bool {
	return !f.IsActive || (version == f.To) == f.UsesNew
}
