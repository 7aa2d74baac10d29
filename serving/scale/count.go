package scale

import (
	"math"
	"sort"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// domainsOf returns the failure domains of a service, the cheapest first.
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

// count counts the upstreams of a service that stay.
func count(service string, upstreams []*catalog.Upstream) map[subject]int {
	have := make(map[subject]int)
	for _, u := range upstreams {
		if u.Service == service && !u.Draining {
			have[subject{service: service, failureDomain: u.FailureDomain, reclaimable: u.Reclaimable}]++
		}
	}
	return have
}

// sum counts the upstreams of one kind.
func sum(have map[subject]int, reclaimable bool) int {
	n := 0
	for s, count := range have {
		if s.reclaimable == reclaimable {
			n += count
		}
	}
	return n
}

// part divides a number evenly; the first parts get what is left over.
func part(total float64, i, parts int) int {
	return max((int(math.Ceil(total))-i+parts-1)/parts, 0)
}
