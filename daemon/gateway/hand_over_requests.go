package gateway

// handOverRequests asks dispatch to hand its open requests over to other
// gateways.
type handOverRequests struct{}

func (handOverRequests) isDispatchMessage() {}
