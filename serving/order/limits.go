package order

// Limits restricts the orders that may be given now.
type Limits struct {
	// AllowUnchecked allows orders to engines that don't check fencing numbers.
	// It is set once no order of the lease's former holder can take effect any
	// more.
	AllowUnchecked bool
	// MaxLoading is the maximum number of engines that load weights at a time.
	// They share the rate limit of the weight store.
	MaxLoading int
}
