package rollout

// Capacity is the number of slots of the upstreams of a service that take requests.
type Capacity struct {
	// New are those of the new version, and Old those of the others.
	New, Old int
	// OldVersions are the other versions.
	OldVersions []string
}
