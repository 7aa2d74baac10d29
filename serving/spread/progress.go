package spread

// Progress tells how far a configuration version has spread. A process that
// holds a higher version counts as holding it.
type Progress struct {
	// Version is the version asked for.
	Version uint64 `json:"version"`
	// Holders are the IDs of the members known to hold the version.
	Holders []string `json:"holders"`
	// Settled is true once the reporting process has had time to learn of all
	// members. Until then a member that lacks the version may be absent from
	// Missing. Node.Progress leaves it false for the caller to set.
	Settled bool `json:"settled"`
	// Missing are the IDs of the members that are neither gone nor known to
	// hold the version.
	Missing []string `json:"missing"`
}
