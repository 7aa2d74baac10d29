package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChoosePeers returns count members for a process to link to. It balances them
// over failure domains first and roles second, and breaks ties by rendezvous
// hashing: processes choose different peers, and few choices change when a
// member joins or leaves.
func ChoosePeers(self string, members []Member, count int) []Member {
	ranked := rank(self, members)
	domains := make(map[string]int)
	roles := make(map[string]int)
	var chosen []Member
	for len(chosen) < count && len(ranked) > 0 {
		best := 0
		for i := range ranked {
			if compareBalance(&ranked[i], &ranked[best], domains, roles) < 0 {
				best = i
			}
		}
		m := ranked[best]
		ranked = slices.Delete(ranked, best, best+1)
		domains[m.FailureDomain]++
		roles[m.Role]++
		chosen = append(chosen, m)
	}
	return chosen
}

// compareBalance prefers the member whose failure domain, and then whose role,
// was chosen less often.
func compareBalance(a, b *Member, domains, roles map[string]int) int {
	return cmp.Or(
		cmp.Compare(domains[a.FailureDomain], domains[b.FailureDomain]),
		cmp.Compare(roles[a.Role], roles[b.Role]),
	)
}

// rank returns the members that can be linked to, in the order of their
// rendezvous hashes.
func rank(self string, members []Member) []Member {
	scores := make(map[string]uint64, len(members))
	var ranked []Member
	for _, m := range members {
		if m.ID == self || m.State == Gone || m.LinkAddress == "" {
			continue
		}
		scores[m.ID] = xxhash.Sum64String(self + "\x00" + m.ID)
		ranked = append(ranked, m)
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[a.ID], scores[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}
