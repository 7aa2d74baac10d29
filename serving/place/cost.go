package place

// ExpectedMicrosPerHour returns the price of a placement and the expected cost
// of losing a failure domain, which Choose keeps low.
func ExpectedMicrosPerHour(t *Target, r Request) float64 {
	s := newSearch(r)
	s.placed, s.spot = 0, 0
	cost := 0.0
	for i, o := range s.options {
		for range t.Count(o) {
			cost += s.marginal(i)
			s.change(i, 1)
		}
	}
	return cost
}
