package history

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
)

const (
	sliceHolders  = 4
	quotaRunTime  = 2 * time.Minute
	firstTotal    = 1000
	leastTotal    = 300
	totalStep     = 100
	mostDemand    = 800
	demandEvery   = 8 * time.Second
	sampleEvery   = 200 * time.Millisecond
	lowerTotalGap = 40 * time.Second
)

// QuotaRun is a run of processes that share a limit, which is lowered at times.
// A process that crashed counts until its last grant ends, for what it spent
// goes on until then.
type QuotaRun struct {
	world    *World
	table    *Table
	switches QuotaSwitches
	limit    quota.Limit
	holders  []*sliceHolder // of all incarnations
	granted  uint64
	over     int // samples of more than is granted
	grown    int // grants beyond the total
	// Peak is the largest sum of slices in a sample.
	Peak uint64
}

// NewQuotaRun makes the run of a seed.
func NewQuotaRun(seed uint64, switches QuotaSwitches) *QuotaRun {
	w := NewWorld(seed)
	r := &QuotaRun{
		world:    w,
		table:    NewTable(w, DefaultFaults()),
		switches: switches,
		limit:    quota.Limit{Name: "money", Total: firstTotal, ConfigurationVersion: 1},
	}
	r.table.Applied = r.checkGrants
	trouble := Trouble{Every: 15 * time.Second, Longest: 20 * time.Second, SkewPPM: skewPPM}
	if switches.NoMargin {
		trouble.SkewPPM = skewFarPPM
	}
	for i := range sliceHolders {
		NewNode(w, fmt.Sprint("controller-", i), trouble, r.start)
	}
	r.lower()
	r.sample()
	return r
}

// Run plays the run and returns what was violated.
func (r *QuotaRun) Run(seed uint64) []Violation {
	r.world.Run(quotaRunTime)
	var violations []Violation
	check := func(count int, promise string) {
		if count > 0 {
			violations = append(violations, Violation{Seed: seed, Promise: promise, Detail: fmt.Sprint(count, " times")})
		}
	}
	check(r.over, "the slices are within the grants")
	check(r.grown, "the grants grow only within the total")
	return violations
}

func (r *QuotaRun) start(n *Node) {
	config := lease.DefaultConfig()
	if r.switches.ShortWatch && r.world.Chance(500) {
		config.TTL /= 4
		config.Margin /= 4
	}
	holder := lease.Holder{Instance: n.Name, Incarnation: n.Incarnation}
	h := &sliceHolder{
		Allocation: quota.New(r.limit, config, holder),
		node:       n,
		holder:     holder,
		switches:   r.switches,
	}
	r.holders = append(r.holders, h)
	r.demand(n, h)
	drive(n, r.table, h, h.Next(n.Now()))
}

// demand changes what a holder asks for from time to time.
func (r *QuotaRun) demand(n *Node, h *sliceHolder) {
	h.SetDemand(quota.Demand{Want: r.world.Random.Uint64N(mostDemand), Weight: 1 + r.world.Random.Uint64N(3)}, 0)
	h.Configure(r.limit)
	n.After(r.world.Between(0, demandEvery), func() { r.demand(n, h) })
}

// lower lowers the total from time to time.
func (r *QuotaRun) lower() {
	r.world.After(r.world.Between(0, 2*lowerTotalGap), func() {
		if r.limit.Total > leastTotal {
			r.limit.Total -= totalStep
			r.limit.ConfigurationVersion++
		}
		r.lower()
	})
}

// sample compares what all processes would spend now with the grants.
func (r *QuotaRun) sample() {
	sum := uint64(0)
	for _, h := range r.holders {
		sum += h.spendable()
	}
	if sum > r.granted {
		r.over++
	}
	r.Peak = max(r.Peak, sum)
	r.world.After(sampleEvery, r.sample)
}

// checkGrants compares the grants with the total after each write.
func (r *QuotaRun) checkGrants() {
	ledger, err := quota.DecodeLedger(r.table.Row(quota.RowKey(r.limit.Name)))
	if err != nil {
		r.grown++
		return
	}
	if ledger.Granted() > max(ledger.Total, r.granted) {
		r.grown++
	}
	r.granted = ledger.Granted()
}
