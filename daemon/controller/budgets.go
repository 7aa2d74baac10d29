package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

const (
	// totalBudget is the limit on the spending of all members together.
	totalBudget = "budget-total"
	// memberBudgetPrefix and a member's name form the limit on that member's
	// spending.
	memberBudgetPrefix = "budget/"
)

// budgetHolder is the holder of the slices. It stands for the fleet lease
// rather than the process, so that the next holder of the lease takes over the
// same grants at once. The previous one can no longer spend, because it can no
// longer write a ledger.
var budgetHolder = lease.Holder{Instance: fleetLease, Incarnation: 1}

// budgets holds the slices of the agreed amounts while the fleet duty holds the
// fleet lease. Without a slice nothing may be bought.
type budgets struct {
	newRunner func(stateMachine) *stepRunner
	slices    map[string]*sliceRunner
}

func newBudgets(newRunner func(stateMachine) *stepRunner) *budgets {
	return &budgets{newRunner: newRunner, slices: make(map[string]*sliceRunner)}
}

// renew acquires and renews the slices of a configuration's limits. spent is
// the cost of the current holdings by limit name.
func (b *budgets) renew(c *intent.Configuration, spent map[string]uint64) {
	for _, limit := range budgetLimits(c) {
		s := b.slices[limit.Name]
		if s == nil {
			slice := quota.New(limit, lease.DefaultConfig(), budgetHolder)
			s = &sliceRunner{stepRunner: b.newRunner(slice), slice: slice}
			b.slices[limit.Name] = s
		}
		s.slice.Configure(limit)
		s.slice.SetDemand(quota.Demand{Want: limit.Total, Weight: 1}, spent[limit.Name])
		s.step()
	}
}

// discard drops the slices after the lease was lost.
func (b *budgets) discard() {
	for _, s := range b.slices {
		s.ended = true
	}
	clear(b.slices)
}

// checkSpend checks that an amount fits the member's slice and the total slice,
// in addition to what is already spent. It fails with a *quota.ExceededError.
func (b *budgets) checkSpend(member string, micros int64, spent map[string]uint64) error {
	for _, name := range []string{memberBudgetPrefix + member, totalBudget} {
		s := b.slices[name]
		if s == nil {
			return &quota.ExceededError{Limit: name, Asked: uint64(micros)}
		}
		if err := s.slice.MaySpend(uint64(micros), spent[name], s.clock.Now()); err != nil {
			return err
		}
	}
	return nil
}

// budgetLimits lists the limits of a configuration: the total and one for each
// member.
func budgetLimits(c *intent.Configuration) []quota.Limit {
	limits := []quota.Limit{{Name: totalBudget, Total: uint64(c.TotalMicrosPerHour), ConfigurationVersion: c.Version}}
	for _, d := range c.Documents {
		limits = append(limits, quota.Limit{
			Name:                 memberBudgetPrefix + d.Member,
			Total:                uint64(d.Budget.MicrosPerHour),
			ConfigurationVersion: c.Version,
		})
	}
	return limits
}
