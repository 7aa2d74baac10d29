package place

// ExpectedMicrosPerHour returns the cost that Choose minimizes: the price of a
// placement and the expected loss from reclaims and failures of domains.
// Instances that run now count with a lower price, by the hysteresis.
func ExpectedMicrosPerHour(t *Target, r Request) float64 {
	s := newSearch(r)
	s.placed, s.reclaimable = 0, 0
	cost := 0.0
	for i, o := range s.options {
		for range t.Count(o) {
			cost += s.marginalCost(i)
			s.adjust(i, 1)
		}
	}
	return cost
}
