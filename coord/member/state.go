package member

// State is the believed state of a process.
type State uint8

// The states, from best to worst.
const (
	// Live: the process is not suspected.
	Live State = iota + 1
	// Suspect: a process that monitors this one has not heard from it for
	// Config.SuspectAfter.
	Suspect
	// Leaving: the process has announced that it will end.
	Leaving
	// Gone: the process did not refute a suspicion within Config.GoneAfter.
	Gone
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "invalid"
	}
}
