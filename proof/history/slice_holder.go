package history

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// sliceHolder is one incarnation of a process with a slice.
type sliceHolder struct {
	*quota.Allocation
	node         *Node
	holder       lease.Holder
	switches     QuotaSwitches
	acknowledged uint64
}

// Written implements stepper.
func (h *sliceHolder) Written(err error, now clock.Instant) lease.Step {
	step := h.Allocation.Written(err, now)
	h.acknowledged = h.Allocation.Amount(now)
	return step
}

// ReadResult implements stepper. A renewal that it asks for does not change what
// was acknowledged before.
func (h *sliceHolder) ReadResult(found row.Row, err error, now clock.Instant) lease.Step {
	return h.Allocation.ReadResult(found, err, now)
}

// spendable returns what the process would spend at this instant.
func (h *sliceHolder) spendable() uint64 {
	now := h.node.Now()
	switch amount := h.Amount(now); {
	case h.switches.NoExpiry:
		own, _ := h.Ledger().Grant(h.holder)
		return own.Amount
	case h.switches.LateShrink && amount > 0:
		return max(amount, h.acknowledged)
	default:
		return amount
	}
}
