package prefix

// Match is an upstream that probably holds the beginning of a prompt.
type Match struct {
	// Holder is the number of the upstream.
	Holder Holder
	// Blocks is the number of blocks that it holds, from the first on.
	Blocks int
}
