package spread_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// graph holds the links that result when each member chooses peers. Links are
// listed at both ends.
type graph struct {
	members []spread.Member
	links   map[string]map[string]bool
	domain  map[string]string
}

func newGraph(members []spread.Member, count int) *graph {
	g := &graph{members: members, links: map[string]map[string]bool{}, domain: map[string]string{}}
	for _, m := range members {
		g.links[m.ID] = map[string]bool{}
		g.domain[m.ID] = m.FailureDomain
	}
	for _, m := range members {
		for _, o := range spread.ChoosePeers(m.ID, members, count) {
			g.links[m.ID][o.ID] = true
			g.links[o.ID][m.ID] = true
		}
	}
	return g
}

// reach starts from the first member outside a lost failure domain and returns
// the number of members that can be reached without the domain, and the hops to
// the farthest.
func (g *graph) reach(lost string) (reached, hops int) {
	seen := map[string]bool{}
	var front []string
	for _, m := range g.members {
		if m.FailureDomain != lost {
			front = []string{m.ID}
			seen[m.ID] = true
			break
		}
	}
	for len(front) > 0 {
		var next []string
		for _, id := range front {
			for o := range g.links[id] {
				if !seen[o] && g.domain[o] != lost {
					seen[o] = true
					next = append(next, o)
				}
			}
		}
		if len(next) > 0 {
			hops++
		}
		front = next
	}
	return len(seen), hops
}

func membersOf(instances, domains int) []spread.Member {
	var members []spread.Member
	for i := range instances {
		for _, role := range []string{"gateway", "controller"} {
			members = append(members, spread.Member{
				ID: fmt.Sprintf("%s/entry-%d", role, i), Role: role, State: spread.Live,
				FailureDomain: fmt.Sprint("domain-", i%domains), LinkAddress: fmt.Sprintf("192.0.2.1:%d", 2*i+len(role)),
			})
		}
	}
	return members
}

var _ = Describe("Choose", func() {
	DescribeTable("bounds the links per member and keeps the graph connected when a failure domain is lost",
		func(instances, domains, count, maxLinks int) {
			g := newGraph(membersOf(instances, domains), count)
			most, total := 0, 0
			for _, peers := range g.links {
				most = max(most, len(peers))
				total += len(peers)
			}
			worst := 0
			for d := range domains {
				lost := fmt.Sprint("domain-", d)
				outside := 0
				for _, m := range g.members {
					if m.FailureDomain != lost {
						outside++
					}
				}
				reached, hops := g.reach(lost)
				Expect(reached).To(Equal(outside), lost)
				worst = max(worst, hops)
			}
			GinkgoWriter.Printf("instances %d, chosen %d: links %.1f on average, %d at most; at most %d hops without one domain\n",
				instances, count, float64(total)/float64(len(g.links)), most, worst)
			Expect(most).To(BeNumerically("<=", maxLinks))
		},
		Entry("4 instances", 4, 3, 4, 7),
		Entry("8 instances", 8, 6, 4, 15),
		Entry("190 instances, 3 links", 190, 10, 3, 24),
		Entry("190 instances, 4 links", 190, 10, 4, 24),
		Entry("190 instances, 6 links", 190, 10, 6, 24),
	)

	It("changes few choices when a member leaves", func() {
		members := membersOf(190, 10)
		changed := 0
		for _, m := range members[1:] {
			before := spread.ChoosePeers(m.ID, members, 4)
			after := spread.ChoosePeers(m.ID, members[1:], 4)
			for _, o := range after {
				if !contains(before, o.ID) {
					changed++
				}
			}
		}
		GinkgoWriter.Printf("%d of %d choices changed\n", changed, 4*len(members))
		Expect(changed).To(BeNumerically("<", 4*len(members)/50))
	})
})

func contains(members []spread.Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}
