package world

// StuckError reports a stand-in whose duty did not take its turn.
type StuckError struct{}

// Error implements error.
func (*StuckError) Error() string { return "the duty of a stand-in does not answer" }
