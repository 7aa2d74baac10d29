package spread_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

var _ = Describe("Node with a seed", func() {
	It("keeps the link to the seed until it knows the member behind it", func() {
		self := spread.Member{ID: "gateway/b", Role: "gateway", FailureDomain: "b", LinkAddress: "10.0.0.2:1", Incarnation: 1}
		n := spread.NewNode(spread.Config{Seeds: []string{"10.0.0.1:1"}}, self, clock.Instant(1), rand.New(rand.NewPCG(1, 1)))
		Expect(n.Start(clock.Instant(1))).To(ContainElement(
			spread.SetTargets{Targets: []spread.Target{{Address: "10.0.0.1:1"}}}))
		for _, action := range n.Up(clock.Instant(2), "gateway/a") {
			Expect(action).NotTo(BeAssignableToTypeOf(spread.SetTargets{}), "the seed is released")
		}
		seed := spread.Member{ID: "gateway/a", Role: "gateway", FailureDomain: "a", LinkAddress: "10.0.0.1:1", Incarnation: 1, State: spread.Live}
		actions := n.Receive(clock.Instant(3), "gateway/a", &spread.MemberNews{Members: []spread.Member{seed}})
		Expect(actions).To(ContainElement(
			spread.SetTargets{Targets: []spread.Target{{ID: "gateway/a", Address: "10.0.0.1:1"}}}))
	})
})
