package limit

// Outcome is what was decided on a request.
type Outcome int

// Outcomes.
const (
	// Unknown: this gateway can't tell, since it does not know what the others use or
	// is no holder.
	Unknown Outcome = iota
	// Admitted: the request is counted.
	Admitted
	// Ask: a holder decides.
	Ask
	// Empty: nothing is available at this gateway for the moment; another holder may
	// admit the request.
	Empty
	// Exceeded: the limit is used up.
	Exceeded
)

// String returns the name for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Admitted:
		return "admitted"
	case Ask:
		return "ask"
	case Empty:
		return "empty"
	case Exceeded:
		return "exceeded"
	default:
		return "unknown"
	}
}
