package history_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/history"
)

var _ = Describe("Quotas", func() {
	run := func(switches history.QuotaSwitches) runFunc {
		return func(seed uint64) []history.Violation {
			return history.NewQuotaRun(seed, switches).Run(seed)
		}
	}

	It("are never exceeded by all slices together, and only fall when lowered", func() {
		expectNone(run(history.QuotaSwitches{}))
	})

	It("are used in these runs", func() {
		for seed := range uint64(10) {
			r := history.NewQuotaRun(seed, history.QuotaSwitches{})
			Expect(r.Run(seed)).To(BeEmpty())
			Expect(r.Peak).To(BeNumerically(">", 300))
		}
	})

	DescribeTable("violations are found without",
		func(switches history.QuotaSwitches) { expectSome(run(switches)) },
		Entry("the end of a slice", history.QuotaSwitches{NoExpiry: true}),
		Entry("the whole watch", history.QuotaSwitches{ShortWatch: true}),
		Entry("a margin that covers the clocks", history.QuotaSwitches{NoMargin: true}),
		Entry("spending less before a slice shrinks", history.QuotaSwitches{LateShrink: true}),
	)
})
