package controller

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// calls lets the fleet duty make calls whose answers come on other threads:
// each answer is a continuation that is offered to the duty's own ring, into a
// slot that was reserved before the call.
type calls struct {
	inbox *ring.Ring[fleetEvent]
}

// begin reserves the slot and makes the call, which gets the function that
// passes the continuation on. It fails as Reserve does, and then makes no call.
func (c *calls) begin(call func(resume func(next func()))) error {
	if err := c.inbox.Reserve(); err != nil {
		return err
	}
	call(func(next func()) {
		// The slot is reserved, so the offer fails only after the end.
		_ = c.inbox.OfferReserved(fleetEvent{resume: next})
	})
	return nil
}
