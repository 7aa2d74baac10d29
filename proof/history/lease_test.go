package history_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/history"
)

var _ = Describe("Leases", func() {
	run := func(switches history.LeaseSwitches) runFunc {
		return func(seed uint64) []history.Violation {
			return history.NewLeaseRun(seed, switches).Run(seed)
		}
	}

	It("have one holder at a time, and older orders come to rest first", func() {
		expectNone(run(history.LeaseSwitches{}))
	})

	It("change hands in these runs", func() {
		handovers := 0
		for seed := range uint64(20) {
			r := history.NewLeaseRun(seed, history.LeaseSwitches{})
			Expect(r.Run(seed)).To(BeEmpty())
			handovers += r.Handovers
		}
		GinkgoWriter.Println("handovers", handovers)
		Expect(handovers).To(BeNumerically(">", 40))
	})

	DescribeTable("violations are found without",
		func(switches history.LeaseSwitches) { expectSome(run(switches)) },
		Entry("the check before each act", history.LeaseSwitches{NoCheck: true}),
		Entry("the whole watch", history.LeaseSwitches{ShortWatch: true}),
		Entry("a margin that covers the clocks", history.LeaseSwitches{NoMargin: true}),
		Entry("the wait before the first order", history.LeaseSwitches{NoWaitOut: true}),
		Entry("the check of fencing numbers", history.LeaseSwitches{NoFence: true}),
	)
})
