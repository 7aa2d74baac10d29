package spread

// Target is a process to keep a link to.
type Target struct {
	// ID is the ID of the process; empty while only its address is known.
	ID string
	// Address is its link address.
	Address string
}
