package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// Choose returns the IDs of at most count instances for a gateway, ordered by
// ID; all of them if count is 0 or less. It takes one instance from each failure
// domain in turn, and ranks the instances of a domain by rendezvous hashing of
// the gateway and the instance. So gateways get different subsets, and each
// instance is in about equally many.
func Choose(gateway string, instances []fleet.Instance, count int) []string {
	if count <= 0 || len(instances) <= count {
		return ids(instances)
	}
	domains := byDomain(gateway, instances)
	chosen := make([]string, 0, count)
	for rank := 0; len(chosen) < count; rank++ {
		for _, d := range domains {
			if rank < len(d) && len(chosen) < count {
				chosen = append(chosen, d[rank].id)
			}
		}
	}
	slices.Sort(chosen)
	return chosen
}

// byDomain groups the instances by failure domain, lowest score first. The order
// of the domains is hashed with the gateway: if it were the same for all
// gateways, the first domains would get more load whenever count is not a
// multiple of the number of domains.
func byDomain(gateway string, instances []fleet.Instance) [][]candidate {
	groups := make(map[string][]candidate)
	for _, i := range instances {
		c := candidate{id: i.ID, score: score(gateway, i.ID)}
		groups[i.FailureDomain] = append(groups[i.FailureDomain], c)
	}
	names := make([]string, 0, len(groups))
	for name, group := range groups {
		slices.SortFunc(group, compare)
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(gateway, a), score(gateway, b)), cmp.Compare(a, b))
	})
	list := make([][]candidate, 0, len(names))
	for _, name := range names {
		list = append(list, groups[name])
	}
	return list
}

func compare(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id))
}

// score returns the rendezvous hash of a gateway and an instance or domain.
func score(gateway, name string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + name)
}

func ids(instances []fleet.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.ID)
	}
	slices.Sort(list)
	return list
}
