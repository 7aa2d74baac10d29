package spread

// Target is a process to be linked to.
type Target struct {
	// ID names the process; empty while only its address is known.
	ID string
	// Address is its link address.
	Address string
}
