package plan

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// instanceChanges returns the changes from the running instances of the member to
// those wanted, including those of pools that the new document drops.
func instanceChanges(in Input, pools []PoolPlacement) []Change {
	var changes []Change
	wanted := map[string]bool{}
	for i := range pools {
		p := &pools[i]
		wanted[p.Pool] = true
		current := place.CountPoolByOption(in.Fleet, in.Document.Member, p.Pool)
		changes = append(changes, optionChanges(p.Pool, current, &p.Target)...)
	}
	for _, pool := range documentOf(in.Head, in.Document.Member).Pools {
		if wanted[pool.Name] {
			continue
		}
		current := place.CountPoolByOption(in.Fleet, in.Document.Member, pool.Name)
		changes = append(changes, optionChanges(pool.Name, current, &place.Target{})...)
	}
	return changes
}

// optionChanges returns the changes of the number of instances of a pool, by
// option.
func optionChanges(pool string, current map[place.Option]int, target *place.Target) []Change {
	options := map[place.Option]bool{}
	for o := range current {
		options[o] = true
	}
	for _, g := range target.Groups {
		options[g.Option] = true
	}
	var changes []Change
	for o := range options {
		from, to := current[o], target.Count(o)
		if from != to {
			changes = append(changes, Change{Subject: Instances, Name: optionName(pool, o), From: strconv.Itoa(from), To: strconv.Itoa(to)})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

func optionName(pool string, o place.Option) string {
	kind := "on-demand"
	if o.Reclaimable {
		kind = "reclaimable"
	}
	return fmt.Sprintf("%s in %s, %s, %s", pool, o.FailureDomain, o.MachineClass, kind)
}
