package spread

// Progress says which processes have a version of the configuration, or a
// higher one.
type Progress struct {
	// Version is the version asked for.
	Version uint64 `json:"version"`
	// Holders names the processes known to have it.
	Holders []string `json:"holders"`
	// Settled is true once the answering process has had time to learn of all
	// members. Before, a member may lack the version without being in Missing.
	Settled bool `json:"settled"`
	// Missing names the members that are not gone and not known to have it.
	Missing []string `json:"missing"`
}
