package check

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/witness"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

const (
	customer  = "noranbus/academy"
	modelName = "route-llm"
	tokens    = 4
)

// submitted is a submission of a non-idempotent request.
func submitted(key string, outcome callers.Outcome) callers.Record {
	r := callers.Record{
		Customer: customer, Key: key, Kind: callers.Once, Model: modelName, Prompt: key,
		MaxTokens: tokens, Start: 1, End: 2, Outcome: outcome,
	}
	if outcome == callers.Completed {
		r.Text = engine.CompletionText(modelName, "", key, tokens)
	}
	return r
}

var _ = Describe("History", func() {
	everything := Allowed{Refused: true, Unknown: true, UnknownIdempotent: true}

	DescribeTable("finds a breach",
		func(rule Rule, runs int, allowed Allowed, records ...callers.Record) {
			seen := witness.Of(map[string]int{customer + "/k": runs})
			Expect(History(records, seen, allowed)).To(ContainElement(HaveField("Rule", rule)))
		},
		Entry("of whole answers", WholeAnswer, 1, everything, callers.Record{
			Customer: customer, Key: "k", Kind: callers.Once, Model: modelName, Prompt: "k", MaxTokens: tokens,
			Outcome: callers.Completed, Text: engine.CompletionText(modelName, "", "of another", tokens),
		}),
		Entry("of at most once", AtMostOnce, 2, everything, submitted("k", callers.Completed)),
		Entry("of at most once, unknown to the caller", AtMostOnce, 2, everything, submitted("k", callers.Unknown)),
		Entry("of refusals", NotRun, 1, everything, submitted("k", callers.NotRun)),
		Entry("of completed requests that nobody ran", Ran, 0, everything, submitted("k", callers.Completed)),
		Entry("of no refusals", NoRefusal, 0, Allowed{}, submitted("k", callers.NotRun)),
		Entry("of no unknown outcomes", NoUnknown, 0, Allowed{}, submitted("k", callers.Unknown)),
		Entry("of the model, by a completed request that did not run", Linearizable, 0, everything,
			submitted("k", callers.Completed), submitted("k", callers.NotRun)),
		Entry("of the model, by a refused request that ran", Linearizable, 1, everything,
			submitted("k", callers.NotRun), submitted("k", callers.NotRun)),
	)

	DescribeTable("takes a good history",
		func(runs int, records ...callers.Record) {
			seen := witness.Of(map[string]int{customer + "/k": runs})
			Expect(History(records, seen, everything)).To(BeEmpty())
		},
		Entry("completed", 1, submitted("k", callers.Completed)),
		Entry("refused", 0, submitted("k", callers.NotRun)),
		Entry("unknown and run", 1, submitted("k", callers.Unknown)),
		Entry("unknown and not run", 0, submitted("k", callers.Unknown)),
		Entry("a duplicate that gets the answer", 1, submitted("k", callers.Completed), submitted("k", callers.Completed)),
		Entry("a duplicate that is refused", 1, submitted("k", callers.Completed), submitted("k", callers.NotRun)),
	)
})
