package history_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/history"
)

var _ = Describe("Attempts", func() {
	run := func(switches history.AttemptSwitches) runFunc {
		return func(seed uint64) []history.Violation {
			return history.NewAttemptRun(seed, switches).Run(seed)
		}
	}

	It("run at most once, and refusals and settled outcomes hold", func() {
		expectNone(run(history.AttemptSwitches{}))
	})

	It("meet all kinds of answers in these runs", func() {
		total := map[string]int{}
		runs := 0
		for seed := range uint64(50) {
			r := history.NewAttemptRun(seed, history.AttemptSwitches{})
			Expect(r.Run(seed)).To(BeEmpty())
			runs += r.Runs
			for kind, count := range r.Results {
				total[kind] += count
			}
		}
		GinkgoWriter.Println(runs, total)
		Expect(runs).To(BeNumerically(">", 50))
		Expect(total).To(And(HaveKey("completed"), HaveKey("refused"), HaveKey("settled"), HaveKey("open")))
	})

	DescribeTable("violations are found without",
		func(switches history.AttemptSwitches) { expectSome(run(switches)) },
		Entry("the deadline", history.AttemptSwitches{NoDeadline: true}),
		Entry("reading back", history.AttemptSwitches{NoReadBack: true}),
		Entry("keeping the row after a refusal", history.AttemptSwitches{RefusalDeletes: true}),
		Entry("respecting the claim of a dead holder", history.AttemptSwitches{TakeOver: true}),
		Entry("giving the right to send up in a hand-over", history.AttemptSwitches{FormerSends: true}),
		Entry("the wait before settling", history.AttemptSwitches{NoSettleWait: true}),
		Entry("the outcome unknown", history.AttemptSwitches{UnknownIsNotRun: true}),
	)
})
