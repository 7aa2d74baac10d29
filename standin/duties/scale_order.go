package duties

// ScaleOrder is an accepted scale order.
type ScaleOrder struct {
	// Fence is the fencing number of the sender's lease.
	Fence uint64
	// Service, Zone, Count and Spot are the service and zone to scale, the
	// number of instances to reach, and whether to use spot instances.
	Service string
	Zone    string
	Count   int
	Spot    bool
}
