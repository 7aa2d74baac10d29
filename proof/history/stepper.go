package history

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// stepper is a state machine that returns the steps of package lease.
type stepper interface {
	Next(now clock.Instant) lease.Step
	Written(err error, now clock.Instant) lease.Step
	ReadResult(found row.Row, err error, now clock.Instant) lease.Step
}

// drive carries out the steps of a machine until it has ended.
func drive(n *Node, t *Table, m stepper, step lease.Step) {
	switch s := step.(type) {
	case lease.Write:
		t.Write(n, s.Transaction, func(err error) { drive(n, t, m, m.Written(err, n.Now())) })
	case lease.Read:
		t.Read(n, s.Key, func(found row.Row, err error) { drive(n, t, m, m.ReadResult(found, err, n.Now())) })
	case lease.Wait:
		n.After(s.Until.Sub(n.Now())+1, func() { drive(n, t, m, m.Next(n.Now())) })
	case lease.Ended:
	}
}
