package place

import "math"

// Choose returns the cheapest placement found for a pool that has enough
// replicas left when its largest failure domain is lost.
func Choose(r Request) Target {
	s := newSearch(r)
	for s.placed < s.total && s.add() {
	}
	s.improve()
	return s.target()
}

// survivorsWanted returns the number of replicas that must be left when the
// largest failure domain is lost. With one failure domain nothing can be left.
func survivorsWanted(replicas, domains int, share float64) int {
	if domains < 2 {
		return 0
	}
	return int(math.Ceil(float64(replicas)*share - 1e-9))
}

// replicasNeeded returns the number of replicas that leaves the wanted number
// when they are spread evenly over the domains.
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
