package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// totalBudget names the limit on what all members together spend; that on a
// member bears the member's name.
const (
	totalBudget        = "budget-total"
	memberBudgetPrefix = "budget/"
)

// budgetHolder holds the slices. It is the lease and not the process: the next
// holder of the lease takes the same grants over at once. The former one can
// spend nothing more, as it can't write a ledger any more.
var budgetHolder = lease.Holder{Instance: fleetLease, Incarnation: 1}

// budgets are the slices of the agreed amounts that the fleet duty holds while
// it holds the fleet lease. Without a slice nothing is bought.
type budgets struct {
	run    func(stepMachine) *stepRunner
	slices map[string]*heldSlice
}

func newBudgets(run func(stepMachine) *stepRunner) *budgets {
	return &budgets{run: run, slices: make(map[string]*heldSlice)}
}

// hold asks for the slices of a configuration and renews them. Spent holds what
// is already paid for, by the names of the limits.
func (b *budgets) hold(c *intent.Configuration, spent map[string]uint64) {
	for _, limit := range limitsOf(c) {
		s := b.slices[limit.Name]
		if s == nil {
			slice := quota.New(limit, lease.DefaultConfig(), budgetHolder)
			s = &heldSlice{stepRunner: b.run(slice), slice: slice}
			b.slices[limit.Name] = s
		}
		s.slice.Configure(limit)
		s.slice.SetDemand(quota.Demand{Want: limit.Total, Weight: 1}, spent[limit.Name])
		s.step()
	}
}

// drop forgets the slices after the loss of the lease.
func (b *budgets) drop() {
	for _, s := range b.slices {
		s.ended = true
	}
	clear(b.slices)
}

// mayBuy reports whether an amount may be spent for a member beside what is
// spent already.
func (b *budgets) mayBuy(member string, micros int64, spent map[string]uint64) error {
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

// limitsOf lists the agreed amounts of a configuration.
func limitsOf(c *intent.Configuration) []quota.Limit {
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
