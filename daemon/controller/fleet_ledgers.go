package controller

import (
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// readLedgers reads all ledgers after the lease was acquired. Before that it
// writes the fence row, which all writes of ledgers check: what a former holder
// still has under way can change no ledger after it was read.
func (f *fleetDuty) readLedgers(fence uint64) {
	if f.loading {
		return
	}
	f.loading = f.calls.begin(func(resume func(func())) {
		f.table.Read(fenceKey(), func(r row.Row, err error) {
			resume(func() { f.fenceRead(fence, r, err) })
		})
	}) == nil
}

func (f *fleetDuty) fenceRead(fence uint64, r row.Row, err error) {
	f.loading = false
	if err != nil || !f.lease.grant().isValid(f.clock.Now()) {
		return
	}
	change := row.Change{Key: fenceKey(), Expect: r.Version, Value: strconv.AppendUint(nil, fence, 10)}
	f.loading = f.calls.begin(func(resume func(func())) {
		f.table.Write(row.Transaction{Changes: []row.Change{change}}, func(err error) {
			resume(func() { f.fenceWritten(fence, r.Version+1, err) })
		})
	}) == nil
}

func (f *fleetDuty) fenceWritten(fence, version uint64, err error) {
	f.loading = false
	if err != nil {
		return
	}
	f.fenceVersion = version
	f.loading = f.calls.begin(func(resume func(func())) {
		f.table.List(ledgerPartition, "", func(rows []row.Row, err error) {
			resume(func() { f.ledgersRead(fence, rows, err) })
		})
	}) == nil
}

func (f *fleetDuty) ledgersRead(fence uint64, rows []row.Row, err error) {
	f.loading = false
	if err != nil {
		return
	}
	keepers := make(map[row.Key]*poolKeeper, len(rows))
	for _, r := range rows {
		member, pool, ok := poolOfKey(r.Key)
		if !ok {
			continue
		}
		k := newPoolKeeper(f, member, pool)
		if err := k.take(r); err != nil {
			f.log.Error().Str("cause", err.Error()).Msg("ledger_unreadable")
			return
		}
		keepers[r.Key] = k
	}
	f.keepers, f.ledgersOf = keepers, fence
	f.log.Info().Uint64("fence", fence).Int("ledgers", len(rows)).Msg("fleet_lease_acquired")
	f.wake()
}
