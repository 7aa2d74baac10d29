package spread

// Progress says which processes have a version of the configuration, or a
// higher one.
type Progress struct {
	// Version is the version asked for.
	Version uint64 `json:"version"`
	// Holders names the processes known to have it.
	Holders []string `json:"holders"`
	// Missing names the members that are not gone and not known to have it.
	Missing []string `json:"missing"`
}
