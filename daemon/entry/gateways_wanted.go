package entry

// gatewaysWanted tells the cluster duty that this process serves nothing until it knows the
// other gateways.
type gatewaysWanted struct{}

func (gatewaysWanted) isClusterMessage() {}
