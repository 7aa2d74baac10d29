package duties

// Report is a usage report that was taken.
type Report struct {
	// Holder named itself in the call.
	Holder string
	// Fence is its fencing number.
	Fence uint64
	// Window is the number of the window.
	Window int64
	// Counts are the requests of each customer.
	Counts map[string]uint64
}
