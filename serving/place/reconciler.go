package place

import (
	"sort"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// reconciler compares the starting and live instances of a pool with its target.
type reconciler struct {
	target   *Target
	byOption map[Option][]fleet.Instance
	// byDomain counts the instances by failure domain, and also those that
	// starts picked.
	byDomain map[string]int
	starting int
	live     int
}

func newReconciler(target *Target, instances []fleet.Instance) *reconciler {
	r := &reconciler{target: target, byOption: map[Option][]fleet.Instance{}, byDomain: map[string]int{}}
	for _, i := range instances {
		switch i.State {
		case fleet.Starting:
			r.starting++
		case fleet.Live:
			r.live++
		default:
			continue
		}
		r.byOption[OptionOf(i)] = append(r.byOption[OptionOf(i)], i)
		r.byDomain[i.FailureDomain]++
	}
	return r
}

// starts picks missing instances to start now, at most as many as may be
// starting at a time. Those in the failure domain with the fewest instances are
// first.
func (r *reconciler) starts() []Option {
	var missing []Option
	for _, g := range r.target.Groups {
		for range g.Count - len(r.byOption[g.Option]) {
			missing = append(missing, g.Option)
		}
	}
	room := max(MaxStarting(r.target.Total())-r.starting, 0)
	var picked []Option
	for len(picked) < room && len(missing) > 0 {
		at := r.indexInEmptiestDomain(missing)
		picked = append(picked, missing[at])
		r.byDomain[missing[at].FailureDomain]++
		missing = append(missing[:at], missing[at+1:]...)
	}
	return picked
}

// indexInEmptiestDomain returns the index of the first option in the failure
// domain with the fewest instances.
func (r *reconciler) indexInEmptiestDomain(options []Option) int {
	best := 0
	for i, o := range options {
		if r.byDomain[o.FailureDomain] < r.byDomain[options[best].FailureDomain] {
			best = i
		}
	}
	return best
}

// ends picks surplus instances to end: starting ones while the starting and live
// ones are more than the target, and live ones while the live ones alone are.
func (r *reconciler) ends() []string {
	spare := r.live - r.target.Total()
	var ends []string
	for _, i := range r.surplus() {
		switch {
		case i.State == fleet.Starting && r.live+r.starting > r.target.Total():
			r.starting--
		case i.State == fleet.Live && spare > 0:
			spare--
		default:
			continue
		}
		ends = append(ends, i.ID)
	}
	return ends
}

// surplus returns the instances of each option beyond its target, in the order
// in which to end them.
func (r *reconciler) surplus() []fleet.Instance {
	var list []fleet.Instance
	for o, instances := range r.byOption {
		sort.Slice(instances, func(i, j int) bool { return isEndedFirst(instances[i], instances[j]) })
		if extra := len(instances) - r.target.Count(o); extra > 0 {
			list = append(list, instances[:extra]...)
		}
	}
	sort.Slice(list, func(i, j int) bool { return isEndedFirst(list[i], list[j]) })
	return list
}

// isEndedFirst orders instances by when to end them: starting before live ones,
// then the more expensive first, then by ID.
func isEndedFirst(a, b fleet.Instance) bool {
	if a.State != b.State {
		return a.State == fleet.Starting
	}
	if a.MicrosPerHour != b.MicrosPerHour {
		return a.MicrosPerHour > b.MicrosPerHour
	}
	return a.ID < b.ID
}
