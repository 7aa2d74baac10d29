package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitTrouble is what happens to the gateways around a jump of a customer's demand.
type limitTrouble struct {
	name string
	// cut is the part of the gateways that are cut off from all others, from cutAt on
	// for cutFor.
	cut           float64
	cutAt, cutFor time.Duration
	// killAt are the times at which a part of the gateways is killed.
	killAt []time.Duration
	killed float64
	// lossRate is the part of answers between gateways that are lost.
	lossRate float64
}

// Guards against limits that hold only while news travels fast enough. The load is a
// customer that jumps to many times its usual demand, at all gateways, at one, or moving
// from one to the others, while gateways are cut off or killed or lose answers.
var _ = Describe("A customer's limit when its demand jumps", func() {
	const (
		jumpAt      = 9 * time.Second
		playTime    = 19 * time.Second
		usualFactor = 1.8
	)
	troubles := []limitTrouble{
		{name: "calm"},
		{name: "a third cut off before the jump", cut: 0.36, cutAt: 2 * time.Second, cutFor: 12 * time.Second},
		{name: "a third cut off at the jump", cut: 0.36, cutAt: jumpAt - 500*time.Millisecond, cutFor: 7 * time.Second},
		{name: "all cut off", cut: 1, cutAt: jumpAt - time.Second, cutFor: 8 * time.Second},
		{name: "half killed at the jump, and again", killAt: []time.Duration{jumpAt + 300*time.Millisecond, jumpAt + 2*time.Second}, killed: 0.55},
		{name: "lost answers", lossRate: 0.3},
	}
	spreads := map[string]func(time.Duration) int{
		"at all gateways": nil,
		"at one gateway":  func(time.Duration) int { return 1 },
		"moving to all": func(after time.Duration) int {
			if after < jumpAt+time.Second {
				return 1
			}
			return 1 << 20
		},
	}

	// play returns the most that the customer uses in a window, as a part of what it may.
	play := func(gateways int, c *simulatedCustomer, trouble limitTrouble) float64 {
		s := newSimulatedCluster(gateways, []*simulatedCustomer{c})
		s.lossRate = trouble.lossRate
		kills := trouble.killAt
		for s.now.Sub(s.start) < playTime {
			after := s.now.Sub(s.start)
			if trouble.cut > 0 && after == trouble.cutAt {
				for _, g := range s.gateways[:int(trouble.cut*float64(gateways))] {
					g.disconnectedUntil = s.now.Add(trouble.cutFor)
				}
			}
			if len(kills) > 0 && after >= kills[0] {
				kills = kills[1:]
				for _, g := range s.gateways[:int(trouble.killed*float64(gateways))] {
					s.startGateway(g)
				}
			}
			s.run(clusterStep)
		}
		return c.mostUsed / c.allowed()
	}

	DescribeTable("holds",
		func(gateways int, usual, factor float64) {
			for _, trouble := range troubles {
				for name, spread := range spreads {
					c := &simulatedCustomer{
						name: "c", rate: usualFactor * usual, gateways: spread,
						offered: hotAt(jumpAt, usual, factor*usual),
					}
					most := play(gateways, c, trouble)
					GinkgoWriter.Printf("%d gateways, usual %.0f, jump %.0fx, %s, %s: %.3f of what is allowed\n", gateways, usual, factor, name, trouble.name, most)
					Expect(most).To(BeNumerically("<=", 1), fmt.Sprintf("%s, %s", name, trouble.name))
				}
			}
		},
		Entry("a small one, 4 gateways, 7.5 times", 4, 16_000.0, 7.5),
		Entry("a small one, 4 gateways, 25 times", 4, 16_000.0, 25.0),
		Entry("a large one, 4 gateways, 7.5 times", 4, 200_000.0, 7.5),
		Entry("a small one, 34 gateways, 25 times", 34, 10_000.0, 25.0),
		Entry("a middle one, 34 gateways, 25 times", 34, 50_000.0, 25.0),
		Entry("a large one, 34 gateways, 7.5 times", 34, 200_000.0, 7.5),
		Entry("a small one, 116 gateways, 25 times", 116, 10_000.0, 25.0),
		Entry("a middle one, 116 gateways, 7.5 times", 116, 50_000.0, 7.5),
		Entry("a small one, 300 gateways, 25 times", 300, 10_000.0, 25.0),
	)

	DescribeTable("gets almost all of its limit when it sends much more, and nothing is refused below it",
		func(gateways int, usual float64, spread func(time.Duration) int) {
			c := &simulatedCustomer{name: "c", rate: usualFactor * usual, gateways: spread, offered: hotAt(jumpAt, usual, 5*usual)}
			s := newSimulatedCluster(gateways, []*simulatedCustomer{c})
			s.run(6 * time.Second)
			c.asked, c.refused = 0, 0
			s.run(jumpAt - 6*time.Second)
			Expect(float64(c.refused)).To(BeNumerically("<=", 1+0.001*float64(c.asked)))
			// The first seconds use what the window has left; after them the rate counts.
			s.run(8 * time.Second)
			start, before := s.now, c.total
			s.run(10 * time.Second)
			got := (c.total - before) / s.now.Sub(start).Seconds()
			GinkgoWriter.Printf("%d gateways, usual %.0f: %.3f of its rate\n", gateways, usual, got/c.rate)
			Expect(got).To(BeNumerically(">=", 0.95*c.rate))
		},
		Entry("a small one, 4 gateways", 4, 16_000.0, nil),
		Entry("a large one, 4 gateways", 4, 200_000.0, nil),
		Entry("a small one, 34 gateways", 34, 16_000.0, nil),
		Entry("a large one, 34 gateways", 34, 300_000.0, nil),
		Entry("a middle one at one gateway, 34 gateways", 34, 100_000.0, func(time.Duration) int { return 1 }),
		Entry("a middle one, 116 gateways", 116, 100_000.0, nil),
	)
})
