package place

import "math"

// Choose returns the cheapest placement found with which a pool has enough
// replicas left when its largest failure domain is lost. The search is local, so
// a cheaper placement may exist.
func Choose(r Request) Target {
	s := newSearch(r)
	for s.placed < s.total && s.placeOne() {
	}
	s.improve()
	return s.target()
}

// survivorsWanted returns the number of replicas that must be left when the
// largest failure domain is lost: the share of the replicas, rounded up. With
// one failure domain nothing can be left.
func survivorsWanted(replicas, domains int, share float64) int {
	if domains < 2 {
		return 0
	}
	// 1e-9 keeps a rounding error of the product from adding a replica.
	return int(math.Ceil(float64(replicas)*share - 1e-9))
}

// replicasNeeded returns the smallest number of replicas, at least the requested
// one, that leaves enough survivors when spread evenly over the domains.
func replicasNeeded(replicas, domains, survivors int) int {
	total := replicas
	for domains > 1 && total-ceilDiv(total, domains) < survivors {
		total++
	}
	return total
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}
