package member

// State is what is thought of a process.
type State uint8

// The states. A higher one is worse.
const (
	// Live processes send heartbeats.
	Live State = iota + 1
	// Suspect processes were not heard by a neighbour for a while.
	Suspect
	// Leaving processes have announced that they end.
	Leaving
	// Gone processes have not refuted a suspicion in time.
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
