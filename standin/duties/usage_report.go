package duties

// UsageReport is an accepted usage report.
type UsageReport struct {
	// Holder is the sender, as named in the Duty-Holder header.
	Holder string
	// Fence is the fencing number of the sender's lease.
	Fence uint64
	// Window is the number of the reported time window.
	Window int64
	// Counts are the numbers of requests by customer.
	Counts map[string]uint64
}
