package rollout

// versionBits is the number of bits of a revision that hold a version of the store. Those
// above hold the timeline of the store: one that is restored from an older copy gives its
// versions out again.
const versionBits = 40

// Revision returns the revision of an order whose row has a version in a timeline of the
// store; the timeline is 0 if the store does not tell.
func Revision(timeline, version uint64) uint64 {
	return timeline<<versionBits + version
}

// timelineOf returns the timeline of a revision.
func timelineOf(revision uint64) uint64 {
	return revision >> versionBits
}

// versionOf returns the store's version in a revision.
func versionOf(revision uint64) uint64 {
	return revision & (1<<versionBits - 1)
}
