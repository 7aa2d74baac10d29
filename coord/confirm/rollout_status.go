package confirm

// RolloutStatus is the progress of a Rollout.
type RolloutStatus struct {
	// InForce reports that every live process has the version or a higher one.
	InForce bool
	// Done reports that the wait has ended: the version is in force, or the
	// deadline has passed.
	Done bool
	// Missing are the live processes that have not reported the version or a
	// higher one.
	Missing []Process
}
