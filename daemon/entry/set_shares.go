package entry

// setShares is the number of gateways and this one's part of the customers'
// limits.
type setShares struct {
	gateways int
	shares   map[string]float64
}

func (setShares) isDispatchMessage() {}
