package member

import (
	"cmp"
	"slices"
)

// Neighbours chooses whom a process keeps links to: the given number of peers,
// and one more where none of those is outside its failure domain; all peers if
// there are fewer. The links of all processes together form a connected graph in which
// the neighbours before and after in each of links/2 rings choose each other.
// The choice depends on nothing but the names of the instances and failure
// domains, and a peer that comes or goes changes only the links near it.
//
// At least two links are needed. Peers may contain the process itself.
func Neighbours(self Peer, peers []Peer, links int) []Peer {
	others := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.Instance == self.Instance
	})
	if len(others) <= links {
		slices.SortFunc(others, comparePeers)
		return others
	}
	var chosen []Peer
	for ring := range links / 2 {
		own := ringWeight(ring, self.Instance)
		// The distances wrap around, so that the first follows the last.
		chosen = add(chosen, nearest(others, func(p Peer) uint64 { return own - ringWeight(ring, p.Instance) }))
		chosen = add(chosen, nearest(others, func(p Peer) uint64 { return ringWeight(ring, p.Instance) - own }))
	}
	chosen = fill(self, chosen, others, links)
	slices.SortFunc(chosen, comparePeers)
	return chosen
}

// fill adds the peers of the highest rendezvous weight up to the number of
// links, and the best one of another failure domain where none was chosen.
func fill(self Peer, chosen, others []Peer, links int) []Peer {
	isOutside := func(p Peer) bool { return p.FailureDomain != self.FailureDomain }
	if len(chosen) >= links && slices.ContainsFunc(chosen, isOutside) {
		return chosen
	}
	byWeight(self, others)
	for _, p := range others {
		if len(chosen) >= links {
			break
		}
		chosen = add(chosen, p)
	}
	if slices.ContainsFunc(chosen, isOutside) {
		return chosen
	}
	if i := slices.IndexFunc(others, isOutside); i >= 0 {
		return append(chosen, others[i])
	}
	return chosen
}

func add(chosen []Peer, p Peer) []Peer {
	if slices.Contains(chosen, p) {
		return chosen
	}
	return append(chosen, p)
}

// byWeight sorts the peers by their rendezvous weight, the highest first.
func byWeight(self Peer, peers []Peer) {
	weights := make(map[string]uint64, len(peers))
	for _, p := range peers {
		weights[p.Instance] = pairWeight(self.Instance, p.Instance)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weights[b.Instance], weights[a.Instance]), comparePeers(a, b))
	})
}

// nearest returns the peer of the smallest distance.
func nearest(peers []Peer, distance func(Peer) uint64) Peer {
	best := peers[0]
	least := distance(best)
	for _, p := range peers[1:] {
		if d := distance(p); d < least {
			best, least = p, d
		}
	}
	return best
}
