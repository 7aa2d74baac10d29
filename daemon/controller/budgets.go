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

// budgets are the slices of the agreed amounts that the fleet duty holds while
// it holds the fleet lease. Without a slice nothing is bought.
type budgets struct {
	holder    lease.Holder
	run       func(stepMachine) *stepRunner
	slices    map[string]*heldSlice
	releasing bool
}

func newBudgets(holder lease.Holder, run func(stepMachine) *stepRunner) *budgets {
	return &budgets{holder: holder, run: run, slices: make(map[string]*heldSlice)}
}

// hold asks for the slices of a configuration and renews them. Spent holds what
// is already paid for, by the names of the limits.
func (b *budgets) hold(c *intent.Configuration, spent map[string]uint64) {
	if b.releasing {
		b.giveBack()
		return
	}
	for _, limit := range limitsOf(c) {
		s := b.slices[limit.Name]
		if s == nil {
			slice := quota.New(limit, lease.DefaultConfig(), b.holder)
			s = &heldSlice{stepRunner: b.run(slice), slice: slice}
			b.slices[limit.Name] = s
		}
		s.slice.Configure(limit)
		s.slice.Ask(quota.Demand{Want: limit.Total, Weight: 1}, spent[limit.Name])
		s.step()
	}
}

// giveBack releases all slices; it is called until none is left.
func (b *budgets) giveBack() {
	for name, s := range b.slices {
		if !b.releasing {
			s.release()
		} else {
			s.step()
		}
		if s.ended {
			delete(b.slices, name)
		}
	}
	b.releasing = len(b.slices) > 0
}

// mayBuy reports whether an amount may be spent for a member beside what is
// spent already.
func (b *budgets) mayBuy(member string, micros int64, spent map[string]uint64) error {
	for _, name := range []string{memberBudgetPrefix + member, totalBudget} {
		s := b.slices[name]
		if s == nil {
			return &quota.ShortError{Limit: name, Asked: uint64(micros)}
		}
		if err := s.slice.Spend(uint64(micros), spent[name], s.clock.Now()); err != nil {
			return err
		}
	}
	return nil
}

// limitsOf lists the agreed amounts of a configuration.
func limitsOf(c *intent.Configuration) []quota.Limit {
	limits := []quota.Limit{{Name: totalBudget, Total: uint64(c.TotalMicrosPerHour), Configuration: c.Version}}
	for _, d := range c.Documents {
		limits = append(limits, quota.Limit{
			Name:          memberBudgetPrefix + d.Member,
			Total:         uint64(d.Budget.MicrosPerHour),
			Configuration: c.Version,
		})
	}
	return limits
}
