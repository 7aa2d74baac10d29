package world

// StuckError reports a stand-in whose thread does not respond.
type StuckError struct{}

// Error implements error.
func (*StuckError) Error() string { return "the duty of a stand-in does not answer" }
