package place

import "sort"

// search looks for the cheapest placement. It is greedy with a local search: it
// places the replica with the least marginal cost until all are placed, and then
// moves one or two replicas to other options while that lowers the cost.
type search struct {
	request Request
	// options, prices and counts have the same index. counts holds the replicas
	// placed on each option.
	options []Option
	prices  []int64
	// meanPrice is the mean of prices, at which a lost replica is valued.
	meanPrice float64
	counts    []int
	// perDomain and reclaimablePerDomain count all placed replicas and the
	// reclaimable ones by failure domain.
	perDomain            map[string]int
	reclaimablePerDomain map[string]int
	// total is the number of replicas to place, placed that of those placed so
	// far.
	total  int
	placed int
	// survivorsWanted is the number of replicas that must be left when the
	// largest failure domain is lost.
	survivorsWanted int
	// domainLimit bounds the replicas of one failure domain. It is higher than
	// survivorsWanted allows if the usable domains could not hold them all.
	domainLimit int
	// reclaimableLimit bounds reclaimable, the number of reclaimable replicas.
	reclaimableLimit int
	reclaimable      int
}

func newSearch(r Request) *search {
	if r.Policy == (Policy{}) {
		r.Policy = DefaultPolicy()
	}
	s := &search{request: r, perDomain: map[string]int{}, reclaimablePerDomain: map[string]int{}}
	s.findOptions()
	s.meanPrice = mean(s.prices)
	domains := len(r.Pool.FailureDomains)
	s.survivorsWanted = survivorsWanted(r.Pool.Replicas, domains, r.Policy.SurvivingShare)
	s.total = replicasNeeded(r.Pool.Replicas, domains, s.survivorsWanted)
	// 1e-9 makes up for a product that is rounded down.
	s.reclaimableLimit = int(float64(s.total)*r.Pool.ReclaimableShare + 1e-9)
	s.domainLimit = s.total
	if usable := s.usableDomains(); usable > 0 {
		s.domainLimit = max(s.total-s.survivorsWanted, ceilDiv(s.total, usable))
	}
	s.counts = make([]int, len(s.options))
	return s
}

// findOptions sets options and prices.
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
		if !s.request.Unavailable[o] || s.request.Current[o] > 0 {
			usable[o.FailureDomain] = true
		}
	}
	return len(usable)
}

// placeOne places one replica where it costs the least. It returns false if no
// option is allowed.
func (s *search) placeOne() bool {
	best, bestCost := -1, 0.0
	for i := range s.options {
		if !s.isAllowed(i) {
			continue
		}
		if cost := s.marginalCost(i); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return false
	}
	s.adjust(best, 1)
	return true
}

// isAllowed reports whether one more replica may be placed on option i.
func (s *search) isAllowed(i int) bool {
	o := s.options[i]
	if s.request.Unavailable[o] && s.counts[i] >= s.request.Current[o] {
		return false
	}
	if o.Reclaimable && s.reclaimable >= s.reclaimableLimit {
		return false
	}
	return s.perDomain[o.FailureDomain] < s.domainLimit
}

// marginalCost returns the cost an hour of one more replica on option i: its
// price, less the hysteresis for a current instance, and the growth of the
// expected loss. The loss is quadratic in the number of replicas that can be
// lost together.
func (s *search) marginalCost(i int) float64 {
	o := s.options[i]
	policy := s.request.Policy
	cost := float64(s.prices[i])
	loss := policy.DomainLoss * squareGrowth(s.perDomain[o.FailureDomain], s.total)
	if o.Reclaimable {
		loss += policy.ReclaimLoss * squareGrowth(s.reclaimablePerDomain[o.FailureDomain], s.total)
	}
	if s.counts[i] < s.request.Current[o] {
		cost *= 1 - policy.Hysteresis
	}
	return cost + loss*s.meanPrice
}

func mean(prices []int64) float64 {
	sum := 0.0
	for _, p := range prices {
		sum += float64(p)
	}
	return sum / float64(max(len(prices), 1))
}

// squareGrowth returns how much n²/total grows when n grows by one.
func squareGrowth(n, total int) float64 {
	return float64(2*n+1) / float64(total)
}

// adjust changes the number of replicas on option i.
func (s *search) adjust(i, by int) {
	o := s.options[i]
	s.counts[i] += by
	s.placed += by
	s.perDomain[o.FailureDomain] += by
	if o.Reclaimable {
		s.reclaimable += by
		s.reclaimablePerDomain[o.FailureDomain] += by
	}
}

// improve moves replicas to other options until no move of one or two lowers the
// cost.
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

// tryMove moves one replica of an option to another if that is cheaper.
func (s *search) tryMove(from int) bool {
	saved := s.remove(from)
	for to := range s.options {
		if to != from && s.isAllowed(to) && s.marginalCost(to) < saved-minGainMicros {
			s.adjust(to, 1)
			return true
		}
	}
	s.adjust(from, 1)
	return false
}

// tryExchange moves a replica of the first option and another replica if the two
// moves together are cheaper, though each alone may be more expensive or exceed
// a limit.
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

// tryPair moves one replica of each of two options if that is cheaper.
func (s *search) tryPair(first, second int) bool {
	saved := s.remove(first)
	saved += s.remove(second)
	for a := range s.options {
		if !s.isAllowed(a) {
			continue
		}
		cost := s.marginalCost(a)
		s.adjust(a, 1)
		for b := range s.options {
			if s.isAllowed(b) && cost+s.marginalCost(b) < saved-minGainMicros {
				s.adjust(b, 1)
				return true
			}
		}
		s.adjust(a, -1)
	}
	s.adjust(second, 1)
	s.adjust(first, 1)
	return false
}

// minGainMicros is the least gain for which replicas are moved. It is larger than
// rounding errors, which improve would otherwise take for a gain again and again.
const minGainMicros = 0.001

// remove removes one replica from option i and returns what it cost.
func (s *search) remove(i int) float64 {
	s.adjust(i, -1)
	return s.marginalCost(i)
}

// target returns the result, with the groups ordered by failure domain.
func (s *search) target() Target {
	t := Target{SurvivorsWanted: s.survivorsWanted, Unplaced: s.total - s.placed}
	for i, o := range s.options {
		if s.counts[i] > 0 {
			t.Groups = append(t.Groups, Group{Option: o, Count: s.counts[i], MicrosPerHour: s.prices[i]})
		}
	}
	largest := 0
	for _, count := range s.perDomain {
		largest = max(largest, count)
	}
	t.Survivors = s.placed - largest
	sort.SliceStable(t.Groups, func(i, j int) bool {
		return t.Groups[i].FailureDomain < t.Groups[j].FailureDomain
	})
	return t
}
