package quarantine

// Part is a part of a prompt.
type Part struct {
	// ID identifies the content.
	ID uint64
	// Depth is the number of parts before it.
	Depth int
}
