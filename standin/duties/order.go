package duties

// Order is an order that was taken.
type Order struct {
	// Fence is the fencing number of the holder.
	Fence uint64
	// Service, Zone, Count and Spot are what was ordered.
	Service string
	Zone    string
	Count   int
	Spot    bool
}
