package confirm

// RolloutStatus says how far a version has come.
type RolloutStatus struct {
	// InForce reports that every live process has the version or a higher one.
	InForce bool
	// Over reports that the operator can be answered: the version is in force,
	// or the wait is over and Missing names those without it.
	Over bool
	// Missing are the live processes that have not reported the version.
	Missing []Process
}
