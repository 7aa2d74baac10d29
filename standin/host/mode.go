package host

// Mode says how a stand-in that is down treats a call.
type Mode string

// The modes of an outage.
const (
	// ModeRefuse answers 503. It is the default.
	ModeRefuse Mode = "refuse"
	// ModeError answers 500.
	ModeError Mode = "error"
	// ModeCut ends the connection.
	ModeCut Mode = "cut"
)

func (m Mode) isKnown() bool {
	switch m {
	case "", ModeRefuse, ModeError, ModeCut:
		return true
	}
	return false
}
