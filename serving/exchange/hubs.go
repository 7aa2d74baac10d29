package exchange

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

const (
	// minGateways is the number of gateways from which there are hubs. Fewer follow
	// the store without a notable load.
	minGateways = 9
	// gatewaysPerHub is the number of gateways of a failure domain for each of its
	// hubs.
	gatewaysPerHub = 24
	// minHubs is the least number of hubs, so that there is a second one if a hub
	// fails.
	minHubs = 2
)

// Hubs returns the hubs among the ready gateways: in each failure domain those with
// the lowest hash of their names. Gateways that know the same records choose the
// same hubs.
func Hubs(ready []cluster.Record) []cluster.Record {
	if len(ready) < minGateways {
		return nil
	}
	domains := make(map[string][]cluster.Record)
	for _, r := range ready {
		if r.PeerAddress != "" {
			domains[r.FailureDomain] = append(domains[r.FailureDomain], r)
		}
	}
	least := (minHubs + len(domains) - 1) / max(len(domains), 1)
	var hubs []cluster.Record
	for _, members := range domains {
		sort.Slice(members, func(i, j int) bool { return lessByHash(members[i], members[j]) })
		count := max(least, (len(members)+gatewaysPerHub-1)/gatewaysPerHub)
		hubs = append(hubs, members[:min(count, len(members))]...)
	}
	sort.Slice(hubs, func(i, j int) bool { return hubs[i].Instance < hubs[j].Instance })
	return hubs
}

func lessByHash(a, b cluster.Record) bool {
	x, y := xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)
	return x < y || (x == y && a.Instance < b.Instance)
}
