package controller

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// asyncCalls runs the callbacks of asynchronous calls on the thread of the
// fleet duty. A callback is offered to the duty's inbox, into a slot that was
// reserved before the call, so it can't be dropped.
type asyncCalls struct {
	inbox *ring.Ring[fleetEvent]
}

// begin reserves a slot and makes the call, passing it the function that
// schedules its callback. It fails as Reserve does, without making the call.
func (c *asyncCalls) begin(call func(resume func(next func()))) error {
	if err := c.inbox.Reserve(); err != nil {
		return err
	}
	call(func(next func()) {
		// With a reserved slot this fails only after the inbox was closed.
		_ = c.inbox.OfferReserved(fleetEvent{resume: next})
	})
	return nil
}
