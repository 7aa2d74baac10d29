package history_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/history"
)

var _ = Describe("Confirmations", func() {
	run := func(switches history.ConfirmSwitches) runFunc {
		return func(seed uint64) []history.Violation {
			return history.NewConfirmRun(seed, switches).Run(seed)
		}
	}

	It("are one chain, and followers hold only confirmed versions and never revert", func() {
		expectNone(run(history.ConfirmSwitches{}))
	})

	It("race in these runs", func() {
		conflicts, confirmed := 0, 0
		for seed := range uint64(20) {
			r := history.NewConfirmRun(seed, history.ConfirmSwitches{})
			Expect(r.Run(seed)).To(BeEmpty())
			conflicts += r.Conflicts
			confirmed += r.Confirmed
		}
		GinkgoWriter.Println("conflicts", conflicts, "confirmed", confirmed)
		Expect(conflicts).To(BeNumerically(">", 20))
		Expect(confirmed).To(BeNumerically(">", 20))
	})

	DescribeTable("violations are found without",
		func(switches history.ConfirmSwitches) { expectSome(run(switches)) },
		Entry("the outcome unknown", history.ConfirmSwitches{UnknownIsFailure: true}),
		Entry("the condition on the head", history.ConfirmSwitches{BlindHead: true}),
		Entry("the comparison of versions", history.ConfirmSwitches{LastWins: true}),
		Entry("spreading only what was confirmed", history.ConfirmSwitches{UnconfirmedSpreads: true}),
	)
})
