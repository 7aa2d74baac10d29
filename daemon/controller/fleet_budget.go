package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// mayBuy reports whether an instance of a price fits into the slices that are
// held, beside the draft of its pool and all other ledgers.
func (f *fleetDuty) mayBuy(buyer *poolKeeper, draft *place.Ledger, micros int64) bool {
	err := f.budgets.mayBuy(buyer.member, micros, f.spent(buyer, draft))
	if err != nil {
		f.log.Debug().Str("pool", buyer.pool).Str("cause", err.Error()).Msg("start_not_affordable")
	}
	return err == nil
}

// spent adds up what is paid for, by the names of the limits. The draft, if not
// nil, stands for the ledger of its pool if it is dearer.
func (f *fleetDuty) spent(drafter *poolKeeper, draft *place.Ledger) map[string]uint64 {
	spent := make(map[string]uint64)
	for _, k := range f.keepers {
		cost := k.cost()
		if k == drafter {
			cost = max(cost, draft.MicrosPerHour())
		}
		spent[totalBudget] += uint64(cost)
		spent[memberBudgetPrefix+k.member] += uint64(cost)
	}
	return spent
}
