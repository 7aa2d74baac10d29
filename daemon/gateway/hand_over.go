package gateway

// handOver asks dispatch to give its open requests to other gateways.
type handOver struct{}

func (handOver) isDispatchMessage() {}
