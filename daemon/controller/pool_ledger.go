package controller

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// save writes a ledger that differs from the saved one.
func (k *poolKeeper) save(draft *place.Ledger) {
	if (draft.Equal(k.saved) && k.unsettled == nil) || !k.fleet.lease.grant().isValid(k.fleet.clock.Now()) {
		return
	}
	// A ledger holds only text, numbers and times, which always encode.
	value, _ := json.Marshal(draft)
	changes := []row.Change{
		{Key: k.key(), Expect: k.version, Value: value},
		{Key: fenceKey(), Expect: k.fleet.fenceVersion, Check: true},
	}
	noted := len(k.outcomes)
	k.writing, k.unsettled = true, dearer(k.unsettled, draft)
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.table.Write(row.Transaction{Changes: changes}, func(err error) {
			resume(func() { k.written(draft, noted, err) })
		})
	})
	if err != nil {
		k.writing = false
	}
}

func (k *poolKeeper) written(draft *place.Ledger, noted int, err error) {
	k.writing = false
	var away *row.UnavailableError
	var conflict *row.ConflictError
	switch {
	case err == nil:
		k.version++
		k.saved, k.unsettled = draft, nil
		for _, o := range k.outcomes[:noted] {
			delete(k.open, o.token)
			delete(k.open, o.instance)
		}
		k.outcomes = k.outcomes[noted:]
		k.fleet.wake()
	case errors.As(err, &away):
		// Nothing was written: the next step tries again.
	case errors.As(err, &conflict) && conflict.Key == fenceKey():
		// Another controller has acquired the lease.
		k.fleet.ledgersOf = 0
	default:
		// The outcome is unknown, or an earlier write has taken effect.
		k.stale = true
	}
}

// reload reads the ledger again.
func (k *poolKeeper) reload() {
	k.writing = true
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.table.Read(k.key(), func(r row.Row, err error) {
			resume(func() {
				k.writing = false
				if err == nil {
					err = k.take(r)
				}
				k.stale = err != nil
			})
		})
	})
	if err != nil {
		k.writing = false
	}
}
