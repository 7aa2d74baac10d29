package spread

// State is where a process is in its life.
type State uint8

// The states of a process, in the order in which it passes through them.
const (
	// Live processes do their work.
	Live State = iota + 1
	// Leaving processes finish what they have and take no new work.
	Leaving
	// Gone processes have ended or can't be reached.
	Gone
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler, for the dump.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
