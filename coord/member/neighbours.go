package member

import (
	"cmp"
	"slices"
)

// Neighbours returns the peers that a process keeps links to. It returns count
// peers, and one more if none of those is outside the failure domain of the
// process; or all peers if there are no more than count.
//
// The peers are arranged in count/2 rings, each in a different hashed order. A
// process chooses its predecessor and its successor in each ring, so that the
// links of all processes form a connected graph. The choice depends only on the
// names of instances and failure domains, and a peer that joins or leaves changes
// only the links near it.
//
// Count must be at least 2. Peers may include the process itself.
func Neighbours(self Peer, peers []Peer, count int) []Peer {
	others := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.Instance == self.Instance
	})
	if len(others) <= count {
		slices.SortFunc(others, comparePeers)
		return others
	}
	var chosen []Peer
	for ring := range count / 2 {
		own := ringPosition(ring, self.Instance)
		// The unsigned distances wrap around, which closes the ring.
		chosen = appendUnique(chosen, nearest(others, func(p Peer) uint64 { return own - ringPosition(ring, p.Instance) }))
		chosen = appendUnique(chosen, nearest(others, func(p Peer) uint64 { return ringPosition(ring, p.Instance) - own }))
	}
	chosen = addByWeight(self, chosen, others, count)
	slices.SortFunc(chosen, comparePeers)
	return chosen
}

// addByWeight adds the peers with the highest rendezvous weights until count are
// chosen, and then the best one of another failure domain if none is among them.
func addByWeight(self Peer, chosen, others []Peer, count int) []Peer {
	isOutside := func(p Peer) bool { return p.FailureDomain != self.FailureDomain }
	if len(chosen) >= count && slices.ContainsFunc(chosen, isOutside) {
		return chosen
	}
	sortByWeight(self, others)
	for _, p := range others {
		if len(chosen) >= count {
			break
		}
		chosen = appendUnique(chosen, p)
	}
	if slices.ContainsFunc(chosen, isOutside) {
		return chosen
	}
	if i := slices.IndexFunc(others, isOutside); i >= 0 {
		return append(chosen, others[i])
	}
	return chosen
}

func appendUnique(chosen []Peer, p Peer) []Peer {
	if slices.Contains(chosen, p) {
		return chosen
	}
	return append(chosen, p)
}

// sortByWeight sorts the peers by descending rendezvous weight.
func sortByWeight(self Peer, peers []Peer) {
	weights := make(map[string]uint64, len(peers))
	for _, p := range peers {
		weights[p.Instance] = rendezvousWeight(self.Instance, p.Instance)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weights[b.Instance], weights[a.Instance]), comparePeers(a, b))
	})
}

// nearest returns the peer with the smallest distance.
func nearest(peers []Peer, distance func(Peer) uint64) Peer {
	best := peers[0]
	shortest := distance(best)
	for _, p := range peers[1:] {
		if d := distance(p); d < shortest {
			best, shortest = p, d
		}
	}
	return best
}
