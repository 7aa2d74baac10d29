package link

// Target is a process to be linked to.
type Target struct {
	// ID names the process, ROLE/INSTANCE; empty while only its address is
	// known.
	ID string
	// Address is its IP and port.
	Address string
}
