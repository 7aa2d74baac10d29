package order

// Gate says which orders may be given now.
type Gate struct {
	// Unchecked is true when engines that don't check fencing numbers may be
	// given orders: the last order of the former holder has come to rest.
	Unchecked bool
	// MaxLoading bounds the engines that load weights at a time, which share the
	// rate limit of the weight store.
	MaxLoading int
}
