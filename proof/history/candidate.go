package history

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// candidate is the lease of one incarnation of a node.
type candidate struct {
	node     *Node
	holder   lease.Holder
	lease    *lease.Lease
	released bool
	// stepped is called after each result of a call.
	stepped func()
}

// Next implements stepper.
func (c *candidate) Next(now clock.Instant) lease.Step {
	return c.lease.Next(now)
}

// Written implements stepper.
func (c *candidate) Written(err error, now clock.Instant) lease.Step {
	step := c.lease.Written(err, now)
	c.stepped()
	return step
}

// ReadResult implements stepper.
func (c *candidate) ReadResult(found row.Row, err error, now clock.Instant) lease.Step {
	step := c.lease.ReadResult(found, err, now)
	c.stepped()
	return step
}

// mayHold reports whether the incarnation still runs and has not released the lease.
func (c *candidate) mayHold() bool {
	return c.node.Incarnation == c.holder.Incarnation && !c.released
}

// holds reports whether the lease is held by the clock of the node, which may be paused.
func (c *candidate) holds() bool {
	return c.mayHold() && c.lease.IsHeld(c.node.Now())
}
