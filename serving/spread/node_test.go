package spread_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

var _ = Describe("Node with a seed", func() {
	It("keeps the seed as a target until the member at its address is known", func() {
		self := spread.Member{ID: "gateway/b", Role: "gateway", FailureDomain: "b", LinkAddress: "10.0.0.2:1", Incarnation: 1}
		n := spread.NewNode(spread.Config{Seeds: []string{"10.0.0.1:1"}}, self, clock.Instant(1), rand.New(rand.NewPCG(1, 1)))
		Expect(n.Start(clock.Instant(1))).To(ContainElement(
			spread.SetTargets{Targets: []spread.Target{{Address: "10.0.0.1:1"}}}))
		for _, action := range n.LinkUp(clock.Instant(2), "gateway/a") {
			Expect(action).NotTo(BeAssignableToTypeOf(spread.SetTargets{}), "the seed was dropped from the targets")
		}
		seed := spread.Member{ID: "gateway/a", Role: "gateway", FailureDomain: "a", LinkAddress: "10.0.0.1:1", Incarnation: 1, State: spread.Live}
		actions := n.Receive(clock.Instant(3), "gateway/a", &spread.MemberUpdate{Members: []spread.Member{seed}})
		Expect(actions).To(ContainElement(
			spread.SetTargets{Targets: []spread.Target{{ID: "gateway/a", Address: "10.0.0.1:1"}}}))
	})
})

var _ = Describe("Node with a reclaim notice", func() {
	self := spread.Member{ID: "gateway/b", Role: "gateway", LinkAddress: "10.0.0.2:1", Incarnation: 1}
	ends := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var n *spread.Node

	states := func(actions []spread.Action) map[string]fleet.State {
		found := make(map[string]fleet.State)
		for _, a := range actions {
			if changed, ok := a.(spread.FleetChanged); ok {
				for _, i := range changed.Upserts {
					found[i.ID] = i.State
				}
			}
		}
		return found
	}

	BeforeEach(func() {
		n = spread.NewNode(spread.Config{}, self, clock.Instant(1), rand.New(rand.NewPCG(1, 1)))
		n.LinkUp(clock.Instant(1), "controller/a")
		n.LinkUp(clock.Instant(1), "controller/b")
	})

	list := func(base, position spread.FleetPosition) *spread.FleetDelta {
		return &spread.FleetDelta{Base: base, Position: position, Upserts: []fleet.Instance{{ID: "i", State: fleet.Live}}}
	}

	It("accepts it once from a controller without the lease, and forwards it", func() {
		n.Receive(clock.Instant(2), "controller/a", list(spread.FleetPosition{}, spread.FleetPosition{Epoch: 1, Sequence: 1}))
		update := &spread.NoticeUpdate{Notices: []spread.Notice{{Instance: "i", Ends: ends}}}
		actions := n.Receive(clock.Instant(3), "controller/b", update)
		Expect(states(actions)).To(HaveKeyWithValue("i", fleet.Leaving))
		Expect(actions).To(ContainElement(spread.Send{To: "controller/a", Message: update}))
		Expect(n.Receive(clock.Instant(4), "controller/a", update)).To(BeEmpty())
	})

	It("reports the instance as leaving when an older view shows it live", func() {
		n.PublishNotices(clock.Instant(2), []spread.Notice{{Instance: "i", Ends: ends}})
		actions := n.Receive(clock.Instant(3), "controller/a", list(spread.FleetPosition{}, spread.FleetPosition{Epoch: 1, Sequence: 1}))
		Expect(states(actions)).To(HaveKeyWithValue("i", fleet.Leaving))
	})
})
