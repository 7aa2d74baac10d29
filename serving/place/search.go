package place

import "sort"

// search looks for the cheapest placement: it adds the replica with the least
// marginal cost until all are placed, then moves and exchanges single replicas
// while that lowers the cost.
type search struct {
	request      Request
	options      []Option
	prices       []int64
	lossPrice    float64
	counts       []int
	domains      map[string]int
	reclaimables map[string]int
	total        int
	placed       int
	survivors    int
	domainLimit  int
	spotLimit    int
	spot         int
}

func newSearch(r Request) *search {
	if r.Policy == (Policy{}) {
		r.Policy = DefaultPolicy()
	}
	s := &search{request: r, domains: map[string]int{}, reclaimables: map[string]int{}}
	s.findOptions()
	s.lossPrice = mean(s.prices)
	domains := len(r.Pool.FailureDomains)
	s.survivors = survivorsWanted(r.Pool.Replicas, domains, r.Policy.SurvivingShare)
	s.total = replicasNeeded(r.Pool.Replicas, domains, s.survivors)
	s.spotLimit = int(float64(s.total)*r.Pool.ReclaimableShare + 1e-9)
	s.domainLimit = s.total
	if usable := s.usableDomains(); usable > 0 {
		s.domainLimit = max(s.total-s.survivors, ceilDiv(s.total, usable))
	}
	s.counts = make([]int, len(s.options))
	return s
}

func (s *search) findOptions() {
	s.options = Options(s.request.Pool, s.request.Prices)
	for _, o := range s.options {
		offer, _ := s.request.Prices.Find(o.FailureDomain, o.MachineClass, o.Reclaimable)
		s.prices = append(s.prices, offer.MicrosPerHour)
	}
}

// usableDomains counts the failure domains in which an instance runs or can be
// started.
func (s *search) usableDomains() int {
	usable := map[string]bool{}
	for _, o := range s.options {
		if !s.request.Refused[o] || s.request.Held[o] > 0 {
			usable[o.FailureDomain] = true
		}
	}
	return len(usable)
}

// add places one replica. It returns false when no option is left.
func (s *search) add() bool {
	best, bestCost := -1, 0.0
	for i := range s.options {
		if !s.isAllowed(i) {
			continue
		}
		if cost := s.marginal(i); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return false
	}
	s.change(best, 1)
	return true
}

// isAllowed reports whether one more replica may take an option.
func (s *search) isAllowed(i int) bool {
	o := s.options[i]
	if s.request.Refused[o] && s.counts[i] >= s.request.Held[o] {
		return false
	}
	if o.Reclaimable && s.spot >= s.spotLimit {
		return false
	}
	return s.domains[o.FailureDomain] < s.domainLimit
}

// marginal returns what one more replica of an option costs an hour: its price
// and the growth of the expected loss, which is quadratic in the number of
// replicas that can be lost together.
func (s *search) marginal(i int) float64 {
	o := s.options[i]
	policy := s.request.Policy
	cost := float64(s.prices[i])
	loss := policy.DomainLoss * growth(s.domains[o.FailureDomain], s.total)
	if o.Reclaimable {
		loss += policy.ReclaimLoss * growth(s.reclaimables[o.FailureDomain], s.total)
	}
	if s.counts[i] < s.request.Held[o] {
		cost *= 1 - policy.Hysteresis
	}
	return cost + loss*s.lossPrice
}

func mean(prices []int64) float64 {
	sum := 0.0
	for _, p := range prices {
		sum += float64(p)
	}
	return sum / float64(max(len(prices), 1))
}

// growth returns how much n²/total grows with one more.
func growth(n, total int) float64 {
	return float64(2*n+1) / float64(total)
}

func (s *search) change(i, by int) {
	o := s.options[i]
	s.counts[i] += by
	s.placed += by
	s.domains[o.FailureDomain] += by
	if o.Reclaimable {
		s.spot += by
		s.reclaimables[o.FailureDomain] += by
	}
}

// improve moves and exchanges replicas while that lowers the cost.
func (s *search) improve() {
	for s.improveOnce() {
	}
}

func (s *search) improveOnce() bool {
	for from := range s.options {
		if s.counts[from] == 0 {
			continue
		}
		if s.tryMove(from) || s.tryExchange(from) {
			return true
		}
	}
	return false
}

// tryMove gives one replica another option if that is cheaper.
func (s *search) tryMove(from int) bool {
	saved := s.remove(from)
	for to := range s.options {
		if to != from && s.isAllowed(to) && s.marginal(to) < saved-minGainMicros {
			s.change(to, 1)
			return true
		}
	}
	s.change(from, 1)
	return false
}

// tryExchange gives two replicas other options if that is cheaper together.
func (s *search) tryExchange(first int) bool {
	for second := first; second < len(s.options); second++ {
		if s.counts[second] == 0 || (second == first && s.counts[first] < 2) {
			continue
		}
		if s.tryPair(first, second) {
			return true
		}
	}
	return false
}

func (s *search) tryPair(first, second int) bool {
	saved := s.remove(first)
	saved += s.remove(second)
	for a := range s.options {
		if !s.isAllowed(a) {
			continue
		}
		cost := s.marginal(a)
		s.change(a, 1)
		for b := range s.options {
			if s.isAllowed(b) && cost+s.marginal(b) < saved-minGainMicros {
				s.change(b, 1)
				return true
			}
		}
		s.change(a, -1)
	}
	s.change(second, 1)
	s.change(first, 1)
	return false
}

// minGainMicros keeps rounding from being taken for a gain.
const minGainMicros = 0.001

// remove takes one replica away and returns what it cost.
func (s *search) remove(i int) float64 {
	s.change(i, -1)
	return s.marginal(i)
}

func (s *search) target() Target {
	t := Target{SurvivorsWanted: s.survivors, Short: s.total - s.placed}
	for i, o := range s.options {
		if s.counts[i] > 0 {
			t.Groups = append(t.Groups, Group{Option: o, Count: s.counts[i], MicrosPerHour: s.prices[i]})
		}
	}
	largest := 0
	for _, count := range s.domains {
		largest = max(largest, count)
	}
	t.Survivors = s.placed - largest
	sort.SliceStable(t.Groups, func(i, j int) bool {
		return t.Groups[i].FailureDomain < t.Groups[j].FailureDomain
	})
	return t
}
