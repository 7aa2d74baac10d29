package link

// Target is a process to keep a link to.
type Target struct {
	// ID is the ID of the process, ROLE/INSTANCE; empty if only its address is
	// known yet.
	ID string
	// Address is the IP and port of the process.
	Address string
}
