package controller

// ordersDump is the state dump of the orders duty.
type ordersDump struct {
	// Fence is the fencing number sent with orders; 0 without the lease.
	Fence uint64 `json:"fence"`
	// Engines is the number of live engines.
	Engines int `json:"engines"`
	// Serving is the number of engines that can serve.
	Serving int `json:"serving"`
	// MustReadBack is the number of engines whose state must be read before their
	// next order.
	MustReadBack int `json:"read_back"`
}
