package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// canAfford reports whether an instance of this price fits the held slices, in
// addition to the draft of its pool and the ledgers of all others.
func (f *fleetDuty) canAfford(buyer *poolReconciler, draft *place.Ledger, micros int64) bool {
	err := f.budgets.checkSpend(buyer.member, micros, f.spent(buyer, draft))
	if err != nil {
		f.log.Debug().Str("pool", buyer.pool).Str("cause", err.Error()).Msg("start_not_affordable")
	}
	return err == nil
}

// spent sums the cost of all pools by limit name. The pool of drafter counts at
// the higher of its own cost and that of draft; drafter may be nil.
func (f *fleetDuty) spent(drafter *poolReconciler, draft *place.Ledger) map[string]uint64 {
	spent := make(map[string]uint64)
	for _, reconciler := range f.reconcilers {
		cost := reconciler.maxCost()
		if reconciler == drafter {
			cost = max(cost, draft.MicrosPerHour())
		}
		spent[totalBudget] += uint64(cost)
		spent[memberBudgetPrefix+reconciler.member] += uint64(cost)
	}
	return spent
}
