package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// leaseKeeper carries out the steps of a lease for the fleet duty, which owns
// it.
type leaseKeeper struct {
	lease *lease.Lease
	table Table
	clock clock.Clock
	calls *calls
	next  clock.Instant
	busy  bool
	ended bool
}

func newLeaseKeeper(name string, holder lease.Holder, table Table, clk clock.Clock, calls *calls) *leaseKeeper {
	return &leaseKeeper{lease: lease.New(name, lease.DefaultConfig(), holder), table: table, clock: clk, calls: calls}
}

// step takes the next step if one is due.
func (k *leaseKeeper) step() {
	now := k.clock.Now()
	if k.busy || k.ended || now.Before(k.next) {
		return
	}
	k.do(k.lease.Next(now))
}

// release gives the lease up, so that another controller need not wait.
func (k *leaseKeeper) release() {
	if !k.ended {
		k.do(k.lease.Release(k.clock.Now()))
	}
}

func (k *leaseKeeper) do(step lease.Step) {
	switch s := step.(type) {
	case lease.Read:
		k.read(s.Key)
	case lease.Write:
		k.write(s.Transaction)
	case lease.Wait:
		k.next = s.Until
	case lease.Ended:
		k.ended = true
	}
}

func (k *leaseKeeper) read(key row.Key) {
	k.busy = true
	err := k.calls.begin(func(resume func(func())) {
		k.table.Read(key, func(r row.Row, err error) {
			resume(func() { k.hasRead(r, err) })
		})
	})
	if err != nil {
		k.hasRead(row.Row{}, &row.UnavailableError{Err: err})
	}
}

func (k *leaseKeeper) hasRead(r row.Row, err error) {
	k.busy = false
	k.do(k.lease.ReadResult(r, err, k.clock.Now()))
}

func (k *leaseKeeper) write(t row.Transaction) {
	k.busy = true
	err := k.calls.begin(func(resume func(func())) {
		k.table.Write(t, func(err error) {
			resume(func() { k.hasWritten(err) })
		})
	})
	if err != nil {
		k.hasWritten(&row.UnavailableError{Err: err})
	}
}

func (k *leaseKeeper) hasWritten(err error) {
	k.busy = false
	k.do(k.lease.Written(err, k.clock.Now()))
}

// grant returns the right to act; it is not valid unless the lease is held.
func (k *leaseKeeper) grant() grant {
	now := k.clock.Now()
	fence, err := k.lease.Fence(now)
	if err != nil {
		return grant{}
	}
	return grant{fence: fence, until: k.lease.Until(), acquired: k.lease.Acquired()}
}
