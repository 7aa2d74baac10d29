package controller

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// save writes a draft that differs from the saved ledger, or replaces an
// unsettled write.
func (p *poolReconciler) save(draft *place.Ledger) {
	if (draft.Equal(p.saved) && p.unsettled == nil) || !p.fleet.lease.grant().isValid(p.fleet.clock.Now()) {
		return
	}
	// A ledger holds only strings, numbers and times, which always encode.
	value, _ := json.Marshal(draft)
	changes := []row.Change{
		{Key: p.key(), Expect: p.version, Value: value},
		{Key: fenceKey(), Expect: p.fleet.fenceVersion, Check: true},
	}
	recorded := len(p.outcomes)
	p.tableCallPending, p.unsettled = true, costlier(p.unsettled, draft)
	err := p.fleet.calls.begin(func(resume func(func())) {
		p.fleet.table.Write(row.Transaction{Changes: changes}, func(err error) {
			resume(func() { p.onSaved(draft, recorded, err) })
		})
	})
	if err != nil {
		p.tableCallPending = false
	}
}

func (p *poolReconciler) onSaved(draft *place.Ledger, recorded int, err error) {
	p.tableCallPending = false
	var unavailable *row.UnavailableError
	var conflict *row.ConflictError
	switch {
	case err == nil:
		p.version++
		p.saved, p.unsettled = draft, nil
		for _, o := range p.outcomes[:recorded] {
			delete(p.pendingCalls, o.token)
			delete(p.pendingCalls, o.instance)
		}
		p.outcomes = p.outcomes[recorded:]
		p.fleet.tickNow()
	case errors.As(err, &unavailable):
		// Nothing was written: the next reconcile tries again.
	case errors.As(err, &conflict) && conflict.Key == fenceKey():
		// Another controller has acquired the lease: the ledgers must be read
		// again before the next write.
		p.fleet.ledgersFence = 0
	default:
		// The outcome is unknown, or an earlier write has taken effect: the row
		// must be read again.
		p.stale = true
	}
}

// reload reads the ledger from the table service again.
func (p *poolReconciler) reload() {
	p.tableCallPending = true
	err := p.fleet.calls.begin(func(resume func(func())) {
		p.fleet.table.Read(p.key(), func(r row.Row, err error) {
			resume(func() {
				p.tableCallPending = false
				if err == nil {
					err = p.load(r)
				}
				p.stale = err != nil
			})
		})
	})
	if err != nil {
		p.tableCallPending = false
	}
}
