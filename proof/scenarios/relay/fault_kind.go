package relay

// FaultKind is what a Fault does.
type FaultKind int

// The kinds.
const (
	// NoFault does nothing.
	NoFault FaultKind = iota
	// RepeatStart sends the first bytes of a piece once more after it.
	RepeatStart
	// CutOff sends only the first bytes of a piece, and ends the connection.
	CutOff
	// Endless sends the first bytes of the head of a response, and then others without end.
	// In a body with a length these could not be told from its own.
	Endless
	// LateCopy sends each refusal once more after Fault.Delay, whether the connection is
	// idle by then or a request is under way. What comes from the target meanwhile waits.
	LateCopy
	// CopyOnRetry sends a refusal once more when the refused request is sent again on the
	// same connection, before its response.
	CopyOnRetry
	// SpoilHead adds a line to the head of a response that no sound one has, and ends the
	// connection after the piece. Fault.Line draws the line.
	SpoilHead
)
