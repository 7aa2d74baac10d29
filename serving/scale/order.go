package scale

// Order is a wanted number of upstreams of one kind.
type Order struct {
	// Service names the service.
	Service string
	// FailureDomain is where they run.
	FailureDomain string
	// Reclaimable tells the two kinds apart.
	Reclaimable bool
	// Count is the wanted number.
	Count int
	// Have is the number that there was when the order was decided.
	Have int
	// Need is the number that the load needed, over all failure domains.
	Need int
	// Load is what the need was taken from.
	Load Load
}
