package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// stepRunner carries out the steps of a state machine for the fleet duty, which
// owns both.
type stepRunner struct {
	machine stepMachine
	table   Table
	clock   clock.Clock
	calls   *calls
	next    clock.Instant
	busy    bool
	ended   bool
}

func newStepRunner(machine stepMachine, table Table, clk clock.Clock, calls *calls) *stepRunner {
	return &stepRunner{machine: machine, table: table, clock: clk, calls: calls}
}

// step takes the next step if one is due.
func (r *stepRunner) step() {
	now := r.clock.Now()
	if r.busy || r.ended || now.Before(r.next) {
		return
	}
	r.do(r.machine.Next(now))
}

// release gives up what the machine holds; ended is set when that is done.
func (r *stepRunner) release() {
	if !r.ended {
		r.do(r.machine.Release(r.clock.Now()))
	}
}

func (r *stepRunner) do(step lease.Step) {
	if r.ended {
		return
	}
	switch s := step.(type) {
	case lease.Read:
		r.read(s.Key)
	case lease.Write:
		r.write(s.Transaction)
	case lease.Wait:
		r.next = s.Until
	case lease.Ended:
		r.ended = true
	}
}

func (r *stepRunner) read(key row.Key) {
	r.busy = true
	err := r.calls.begin(func(resume func(func())) {
		r.table.Read(key, func(found row.Row, err error) {
			resume(func() { r.hasRead(found, err) })
		})
	})
	if err != nil {
		r.hasRead(row.Row{}, &row.UnavailableError{Err: err})
	}
}

func (r *stepRunner) hasRead(found row.Row, err error) {
	r.busy = false
	r.do(r.machine.ReadResult(found, err, r.clock.Now()))
}

func (r *stepRunner) write(t row.Transaction) {
	r.busy = true
	err := r.calls.begin(func(resume func(func())) {
		r.table.Write(t, func(err error) {
			resume(func() { r.hasWritten(err) })
		})
	})
	if err != nil {
		r.hasWritten(&row.UnavailableError{Err: err})
	}
}

func (r *stepRunner) hasWritten(err error) {
	r.busy = false
	r.do(r.machine.Written(err, r.clock.Now()))
}
