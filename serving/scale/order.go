package scale

// Order sets the number of upstreams of one service and kind in one failure
// domain.
type Order struct {
	// Service names the service.
	Service string
	// FailureDomain is the failure domain in which they run.
	FailureDomain string
	// Reclaimable selects reclaimable upstreams instead of on-demand ones.
	Reclaimable bool
	// Count is the wanted number.
	Count int
	// Have is the number that existed when the order was decided.
	Have int
	// Need is the number of upstreams that the load required, over all failure
	// domains.
	Need int
	// Load is the load from which Need was computed.
	Load Load
}
