package spread

// MemberState is the lifecycle state of a process.
type MemberState uint8

// The lifecycle states, in order.
const (
	// Live processes accept work.
	Live MemberState = iota + 1
	// Leaving processes finish the work in progress and accept no more.
	Leaving
	// Gone processes have ended or are unreachable.
	Gone
)

// String implements fmt.Stringer.
func (s MemberState) String() string {
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

// MarshalText implements encoding.TextMarshaler, for the state dump in JSON.
func (s MemberState) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
