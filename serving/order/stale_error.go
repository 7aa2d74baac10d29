package order

import "strconv"

// StaleError reports that an engine refused an order because it has accepted one
// with a higher fencing number.
type StaleError struct {
	// Fence is the fencing number of the refused order.
	Fence uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return "order with fencing number " + strconv.FormatUint(e.Fence, 10) + " was refused as stale"
}
