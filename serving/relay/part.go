package relay

// Part is a piece of a prompt that requests may share.
type Part struct {
	// ID names its content.
	ID uint64
	// Tokens is its length.
	Tokens int
}
