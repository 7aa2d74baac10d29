package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// stateMachine is a lease or a slice of a limit. It returns the reads and
// writes of its row as steps for the caller to execute.
type stateMachine interface {
	// Next returns the step that is due.
	Next(now clock.Instant) lease.Step
	// Written takes the result of a write.
	Written(err error, now clock.Instant) lease.Step
	// ReadResult takes the result of a read.
	ReadResult(found row.Row, err error, now clock.Instant) lease.Step
	// Release gives up what is held.
	Release(now clock.Instant) lease.Step
}
