package scale

import (
	"math"
	"sort"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// domainsOf returns the failure domains in which a service has a price or an
// upstream, the cheapest first.
func domainsOf(s *catalog.Service, upstreams []*catalog.Upstream) []string {
	seen := make(map[string]bool)
	for domain := range s.Autoscaling.OnDemandPrices {
		seen[domain] = true
	}
	for _, u := range upstreams {
		if u.Service == s.Name {
			seen[u.FailureDomain] = true
		}
	}
	list := make([]string, 0, len(seen))
	for domain := range seen {
		list = append(list, domain)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := s.Autoscaling.OnDemandPrices[list[i]], s.Autoscaling.OnDemandPrices[list[j]]
		if a != b {
			return a < b
		}
		return list[i] < list[j]
	})
	return list
}

// countUpstreams counts the upstreams of a service that are not leaving.
func countUpstreams(service string, upstreams []*catalog.Upstream) map[groupKey]int {
	have := make(map[groupKey]int)
	for _, u := range upstreams {
		if u.Service == service && !u.Draining {
			have[groupKey{service: service, failureDomain: u.FailureDomain, reclaimable: u.Reclaimable}]++
		}
	}
	return have
}

// countKind counts the reclaimable or the on-demand upstreams in all failure
// domains.
func countKind(have map[groupKey]int, reclaimable bool) int {
	n := 0
	for key, count := range have {
		if key.reclaimable == reclaimable {
			n += count
		}
	}
	return n
}

// evenPart returns part i of count when total, rounded up, is divided evenly. The
// first parts get the remainder.
func evenPart(total float64, i, count int) int {
	return max((int(math.Ceil(total))-i+count-1)/count, 0)
}
