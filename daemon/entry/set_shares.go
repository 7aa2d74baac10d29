package entry

// setShares is the number of gateways, how many others take requests, and this
// one's part of the customers' limits.
type setShares struct {
	gateways int
	others   int
	shares   map[string]float64
}

func (setShares) isDispatchMessage() {}
