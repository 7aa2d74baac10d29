package controller

import (
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// readLedgers reads all ledgers after the lease was acquired. First it writes
// the fence row, which every ledger write checks, so that a write by the
// previous holder that is still in flight can't change a ledger after it was
// read.
func (f *fleetDuty) readLedgers(fence uint64) {
	if f.ledgersPending {
		return
	}
	f.ledgersPending = f.calls.begin(func(resume func(func())) {
		f.table.Read(fenceKey(), func(r row.Row, err error) {
			resume(func() { f.onFenceRead(fence, r, err) })
		})
	}) == nil
}

func (f *fleetDuty) onFenceRead(fence uint64, r row.Row, err error) {
	f.ledgersPending = false
	if err != nil || !f.lease.grant().isValid(f.clock.Now()) {
		return
	}
	change := row.Change{Key: fenceKey(), Expect: r.Version, Value: strconv.AppendUint(nil, fence, 10)}
	f.ledgersPending = f.calls.begin(func(resume func(func())) {
		f.table.Write(row.Transaction{Changes: []row.Change{change}}, func(err error) {
			resume(func() { f.onFenceWritten(fence, r.Version+1, err) })
		})
	}) == nil
}

func (f *fleetDuty) onFenceWritten(fence, version uint64, err error) {
	f.ledgersPending = false
	if err != nil {
		return
	}
	f.fenceVersion = version
	f.ledgersPending = f.calls.begin(func(resume func(func())) {
		f.table.List(ledgerPartition, "", func(rows []row.Row, err error) {
			resume(func() { f.onLedgersRead(fence, rows, err) })
		})
	}) == nil
}

func (f *fleetDuty) onLedgersRead(fence uint64, rows []row.Row, err error) {
	f.ledgersPending = false
	if err != nil {
		return
	}
	reconcilers := make(map[row.Key]*poolReconciler, len(rows))
	for _, r := range rows {
		member, pool, ok := splitLedgerKey(r.Key)
		if !ok {
			continue
		}
		reconciler := newPoolReconciler(f, member, pool)
		if err := reconciler.load(r); err != nil {
			f.log.Error().Str("cause", err.Error()).Msg("ledger_unreadable")
			return
		}
		reconcilers[r.Key] = reconciler
	}
	f.reconcilers, f.ledgersFence = reconcilers, fence
	f.log.Info().Uint64("fence", fence).Int("ledgers", len(rows)).Msg("fleet_lease_acquired")
	f.tickNow()
}
