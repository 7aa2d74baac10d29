package prefix

// Match is a holder of the beginning of a prompt.
type Match struct {
	// Holder is the upstream.
	Holder Holder
	// Blocks is the number of first blocks that it is believed to hold.
	Blocks int
}
