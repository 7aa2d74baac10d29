package history

import (
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// numberCheck compares the number in the row of a lease, from which the next one is made,
// with those that were used.
type numberCheck struct {
	highest  uint64 // used of those that were given out in the newest timeline
	timeline uint64 // the newest in which a number was given out
	lower    int    // writes of a lower number
}

// used notes an acquisition whose number was used.
func (c *numberCheck) used(a lease.Acquisition) {
	if a.Timeline > c.timeline {
		c.timeline, c.highest = a.Timeline, 0
	}
	if a.Timeline == c.timeline {
		c.highest = max(c.highest, a.Fence)
	}
}

// written notes a row that was written just now.
func (c *numberCheck) written(r row.Row) {
	record, err := lease.DecodeRecord(r)
	if err == nil && r.Timeline == c.timeline && record.Fence < c.highest {
		c.lower++
	}
}
