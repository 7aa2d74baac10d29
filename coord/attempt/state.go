package attempt

// State is the state of a request in its row.
type State uint8

// The states of a request.
const (
	// Claimed: the holder in the row may send, may have sent, or is dead.
	Claimed State = iota + 1
	// Completed: the request ran once and has an answer.
	Completed
	// Unknown: the request ran at most once, and no run will start.
	Unknown
	// NotRun: the request did not run, and a new attempt may be claimed.
	NotRun
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Completed:
		return "completed"
	case Unknown:
		return "unknown"
	case NotRun:
		return "not_run"
	default:
		return "invalid"
	}
}
