package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// stepRunner executes the steps of a state machine on the thread of the fleet
// duty.
type stepRunner struct {
	machine stateMachine
	table   Table
	clock   clock.Clock
	calls   *asyncCalls
	nextAt  clock.Instant
	busy    bool
	ended   bool
}

func newStepRunner(machine stateMachine, table Table, clk clock.Clock, calls *asyncCalls) *stepRunner {
	return &stepRunner{machine: machine, table: table, clock: clk, calls: calls}
}

// step executes the next step if one is due.
func (r *stepRunner) step() {
	now := r.clock.Now()
	if r.busy || r.ended || now.Before(r.nextAt) {
		return
	}
	r.execute(r.machine.Next(now))
}

// release gives up what the machine holds. ended is set when that is done.
func (r *stepRunner) release() {
	if !r.ended {
		r.execute(r.machine.Release(r.clock.Now()))
	}
}

func (r *stepRunner) execute(step lease.Step) {
	if r.ended {
		return
	}
	switch s := step.(type) {
	case lease.Read:
		r.read(s.Key)
	case lease.Write:
		r.write(s.Transaction)
	case lease.Wait:
		r.nextAt = s.Until
	case lease.Ended:
		r.ended = true
	}
}

func (r *stepRunner) read(key row.Key) {
	r.busy = true
	err := r.calls.begin(func(resume func(func())) {
		r.table.Read(key, func(found row.Row, err error) {
			resume(func() { r.onRead(found, err) })
		})
	})
	if err != nil {
		r.onRead(row.Row{}, &row.UnavailableError{Err: err})
	}
}

func (r *stepRunner) onRead(found row.Row, err error) {
	r.busy = false
	r.execute(r.machine.ReadResult(found, err, r.clock.Now()))
}

func (r *stepRunner) write(t row.Transaction) {
	r.busy = true
	err := r.calls.begin(func(resume func(func())) {
		r.table.Write(t, func(err error) {
			resume(func() { r.onWritten(err) })
		})
	})
	if err != nil {
		r.onWritten(&row.UnavailableError{Err: err})
	}
}

func (r *stepRunner) onWritten(err error) {
	r.busy = false
	r.execute(r.machine.Written(err, r.clock.Now()))
}
