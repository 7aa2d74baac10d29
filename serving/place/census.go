package place

import (
	"sort"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// census counts the instances of a pool.
type census struct {
	target   *Target
	held     map[Option][]fleet.Instance
	byDomain map[string]int
	starting int
	live     int
}

func newCensus(target *Target, instances []fleet.Instance) *census {
	c := &census{target: target, held: map[Option][]fleet.Instance{}, byDomain: map[string]int{}}
	for _, i := range instances {
		switch i.State {
		case fleet.Starting:
			c.starting++
		case fleet.Live:
			c.live++
		default:
			continue
		}
		c.held[OptionOf(i)] = append(c.held[OptionOf(i)], i)
		c.byDomain[i.FailureDomain]++
	}
	return c
}

// starts picks missing instances, those in the emptiest failure domain first.
func (c *census) starts() []Option {
	var missing []Option
	for _, g := range c.target.Groups {
		for range g.Count - len(c.held[g.Option]) {
			missing = append(missing, g.Option)
		}
	}
	room := max(MaxStarting(c.target.Total())-c.starting, 0)
	var picked []Option
	for len(picked) < room && len(missing) > 0 {
		at := c.emptiest(missing)
		picked = append(picked, missing[at])
		c.byDomain[missing[at].FailureDomain]++
		missing = append(missing[:at], missing[at+1:]...)
	}
	return picked
}

func (c *census) emptiest(options []Option) int {
	best := 0
	for i, o := range options {
		if c.byDomain[o.FailureDomain] < c.byDomain[options[best].FailureDomain] {
			best = i
		}
	}
	return best
}

// ends picks surplus instances: those that are still starting at once, and live
// ones as far as the others suffice.
func (c *census) ends() []string {
	spare := c.live - c.target.Total()
	var ends []string
	for _, i := range c.surplus() {
		switch {
		case i.State == fleet.Starting && c.live+c.starting > c.target.Total():
			c.starting--
		case i.State == fleet.Live && spare > 0:
			spare--
		default:
			continue
		}
		ends = append(ends, i.ID)
	}
	return ends
}

// surplus lists the instances beyond the target, starting ones first and then
// by falling price.
func (c *census) surplus() []fleet.Instance {
	var list []fleet.Instance
	for o, held := range c.held {
		sort.Slice(held, func(i, j int) bool { return isEndedFirst(held[i], held[j]) })
		if extra := len(held) - c.target.Count(o); extra > 0 {
			list = append(list, held[:extra]...)
		}
	}
	sort.Slice(list, func(i, j int) bool { return isEndedFirst(list[i], list[j]) })
	return list
}

func isEndedFirst(a, b fleet.Instance) bool {
	if a.State != b.State {
		return a.State == fleet.Starting
	}
	if a.MicrosPerHour != b.MicrosPerHour {
		return a.MicrosPerHour > b.MicrosPerHour
	}
	return a.ID < b.ID
}
