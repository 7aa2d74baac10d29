package engine_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

const (
	fast = time.Millisecond
	// endless is a token time at which no request completes during a test.
	endless = time.Hour
)

var _ = Describe("Completions", func() {
	It("streams the completion that the prompt determines, with its usage", func() {
		e := start(engine.Config{TokenTime: fast})
		text, last := rest(submit(e, newRequest("r", prompt(20), 30)))
		Expect(text).To(Equal(engine.CompletionText("m", "", prompt(20), 30)))
		Expect(last.ID).To(Equal("r"))
		Expect(last.Choices[0].TokenIndex).To(Equal(29))
		Expect(*last.Choices[0].FinishReason).To(Equal(engine.FinishLength))
		Expect(*last.Usage).To(Equal(engine.Usage{PromptTokens: 20, CompletionTokens: 30}))
		Expect(runRecord(e, "r").Phase).To(Equal(engine.PhaseCompleted))
	})

	It("generates the same completion on each engine, and others for other prompts", func() {
		first, _ := rest(submit(start(engine.Config{TokenTime: fast, Seed: 1}), newRequest("r", "a b", 10)))
		second, _ := rest(submit(start(engine.Config{TokenTime: 2 * fast, Seed: 2}), newRequest("s", "a b", 10)))
		Expect(second).To(Equal(first))
		Expect(engine.CompletionText("m", "", "a c", 10)).NotTo(Equal(first))
		Expect(engine.CompletionText("m", "x", "a b", 10)).NotTo(Equal(first))
		Expect(engine.CompletionText("n", "", "a b", 10)).NotTo(Equal(first))
		Expect(engine.CompletionToken("m", "", "a b", 0) + engine.CompletionToken("m", "", "a b", 1)).To(Equal(engine.CompletionText("m", "", "a b", 2)))
	})

	It("ends a completion at its natural length", func() {
		n, finish := engine.CompletionLength("m", "", "a b", 1<<20)
		Expect(finish).To(Equal(engine.FinishStop))
		Expect(n).To(BeNumerically("<", 1<<20))
		n, finish = engine.CompletionLength("m", "", "a b", 10)
		Expect(finish).To(Equal(engine.FinishLength))
		Expect(n).To(Equal(10))
	})

	It("resumes a completion and counts the recomputed tokens", func() {
		e := start(engine.Config{TokenTime: fast})
		request := newRequest("r", prompt(20), 12)
		request.ResumeFrom = 5
		request.ResumeText = engine.CompletionText("m", "", request.Prompt, 5)
		s := submit(e, request)
		Expect(nextChunk(s).Choices[0].TokenIndex).To(Equal(5))
		text, last := rest(s)
		whole := engine.CompletionText("m", "", request.Prompt, 12)
		Expect(whole).To(HaveSuffix(text))
		Expect(*last.Usage).To(Equal(engine.Usage{PromptTokens: 20, RecomputedTokens: 25, CompletionTokens: 12}))
		Expect(runRecord(e, "r").ResumeTextDiffers).To(BeFalse())
	})

	It("records a resume whose text is not the beginning of the completion", func() {
		e := start(engine.Config{TokenTime: fast})
		request := newRequest("r", "a", 3)
		request.ResumeFrom = 1
		request.ResumeText = "wrong"
		rest(submit(e, request))
		Expect(runRecord(e, "r").ResumeTextDiffers).To(BeTrue())
	})

	It("ends a resume of a whole completion at once", func() {
		e := start(engine.Config{TokenTime: endless})
		request := newRequest("r", "a", 2)
		request.ResumeFrom = 2
		request.ResumeText = engine.CompletionText("m", "", "a", 2)
		text, last := rest(submit(e, request))
		Expect(text).To(BeEmpty())
		Expect(*last.Choices[0].FinishReason).To(Equal(engine.FinishLength))
	})

	DescribeTable("refuses what it can't serve",
		func(change func(*engine.Request), status int, kind host.FailureType) {
			e := start(engine.Config{TokenTime: fast, KVTokens: 100})
			request := newRequest("r", "a", 3)
			change(&request)
			var f host.Failure
			Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/completions", request, &f)).To(Equal(status))
			Expect(f.Error.Type).To(Equal(kind))
			Expect(runRecord(e, "r")).To(Equal(engine.RunRecord{}))
		},
		Entry("unknown model", func(r *engine.Request) { r.Model = "x" }, 400, engine.FailureUnknownModel),
		Entry("unknown adapter", func(r *engine.Request) { r.Adapter = "x" }, 400, engine.FailureUnknownAdapter),
		Entry("no stream", func(r *engine.Request) { r.Stream = false }, 400, host.FailureInvalid),
		Entry("no tokens", func(r *engine.Request) { r.MaxTokens = 0 }, 400, host.FailureInvalid),
		Entry("resume without text", func(r *engine.Request) { r.ResumeFrom = 1 }, 400, host.FailureInvalid),
		Entry("too many tokens", func(r *engine.Request) { r.MaxTokens = 100 }, 400, host.FailureInvalid),
		Entry("unknown KV cache", func(r *engine.Request) { r.KVHandle = "x" }, 400, engine.FailureUnknownHandle),
	)

	It("serves waiting requests by priority, then in order", func() {
		e := start(engine.Config{Slots: 1, TokenTime: fast})
		running := submit(e, newRequest("running", prompt(1), 300))
		nextChunk(running)
		waiting := make(map[string]*hosttest.Stream)
		for _, r := range []struct {
			id       string
			priority int
		}{{"late", 5}, {"first", 1}, {"second", 1}} {
			request := newRequest(r.id, prompt(2), 10)
			request.Priority = r.priority
			waiting[r.id] = submit(e, request)
		}
		rest(running)
		for _, s := range waiting {
			rest(s)
		}
		started := func(id string) int64 { return runRecord(e, id).StartedAtMillis }
		Expect(started("first")).To(BeNumerically("<", started("second")))
		Expect(started("second")).To(BeNumerically("<", started("late")))
	})

	It("refuses a request as not run when the queue is full", func() {
		e := start(engine.Config{Slots: 1, QueueLimit: 1, TokenTime: endless})
		submit(e, newRequest("a", "x", 1))
		submit(e, newRequest("b", "x", 1))
		var f host.Failure
		Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/completions", newRequest("c", "x", 1), &f)).To(Equal(503))
		Expect(f.Error.Type).To(Equal(host.FailureNotRun))
		Expect(runRecord(e, "b").Started).To(BeFalse())
	})

	It("keeps a request waiting for memory", func() {
		e := start(engine.Config{Slots: 4, KVTokens: 10, TokenTime: endless})
		submit(e, newRequest("a", "x", 8))
		submit(e, newRequest("b", "x", 8))
		Expect(runRecord(e, "a").Started).To(BeTrue())
		Expect(runRecord(e, "b").Started).To(BeFalse())
	})

	It("cancels a running and a waiting request", func() {
		e := start(engine.Config{Slots: 1, TokenTime: endless})
		a, b := submit(e, newRequest("a", "x", 1)), submit(e, newRequest("b", "x", 1))
		var canceled engine.CancelResponse
		Expect(hosttest.SendJSON(http.MethodDelete, e.Address(), "/v1/completions/b", nil, &canceled)).To(Equal(http.StatusOK))
		Expect(canceled).To(Equal(engine.CancelResponse{RequestID: "b", Phase: engine.PhaseCanceled}))
		Expect(hosttest.SendJSON(http.MethodDelete, e.Address(), "/v1/completions/a", nil, &canceled)).To(Equal(http.StatusOK))
		Expect(canceled.Started).To(BeTrue())
		Expect(failureOf(a)).To(Equal(engine.FailureCanceled))
		Expect(failureOf(b)).To(Equal(engine.FailureCanceled))
		Expect(runRecord(e, "a").Phase).To(Equal(engine.PhaseCanceled))
		Expect(hosttest.SendJSON(http.MethodDelete, e.Address(), "/v1/completions/none", nil, nil)).To(Equal(http.StatusNotFound))
	})

	It("keeps running without a caller, who can re-attach at a token", func() {
		e := start(engine.Config{TokenTime: fast})
		s := submit(e, newRequest("r", prompt(3), 200))
		nextChunk(s)
		s.Close()
		again := hosttest.OpenStream(http.MethodGet, e.Address(), "/v1/completions/r?from=1", nil)
		Expect(again.Status).To(Equal(http.StatusOK))
		text, _ := rest(again)
		Expect(engine.CompletionText("m", "", prompt(3), 1) + text).To(Equal(engine.CompletionText("m", "", prompt(3), 200)))
		ended := hosttest.OpenStream(http.MethodGet, e.Address(), "/v1/completions/r?from=200", nil)
		text, last := rest(ended)
		Expect(text).To(BeEmpty())
		Expect(last.Usage.CompletionTokens).To(Equal(200))
	})

	It("streams to two callers at once", func() {
		e := start(engine.Config{TokenTime: fast})
		s := submit(e, newRequest("r", "x", 100))
		nextChunk(s)
		other := hosttest.OpenStream(http.MethodGet, e.Address(), "/v1/completions/r?from=0", nil)
		text, _ := rest(other)
		Expect(text).To(Equal(engine.CompletionText("m", "", "x", 100)))
		rest(s)
	})

	It("abandons a request without a caller after the timeout, and forgets it", func() {
		e := start(engine.Config{TokenTime: endless, AbandonTimeout: fast, RetainEnded: fast})
		submit(e, newRequest("r", "x", 1)).Close()
		Eventually(func() engine.Phase { return runRecord(e, "r").Phase }).
			WithTimeout(20 * time.Second).Should(Equal(engine.PhaseAbandoned))
		Eventually(func() int {
			return hosttest.SendJSON(http.MethodGet, e.Address(), "/v1/completions/r", nil, nil)
		}).WithTimeout(20 * time.Second).Should(Equal(http.StatusNotFound))
	})

	It("refuses to attach at a token that is not there", func() {
		e := start(engine.Config{TokenTime: endless})
		submit(e, newRequest("r", "x", 5))
		Expect(hosttest.SendJSON(http.MethodGet, e.Address(), "/v1/completions/r?from=1", nil, nil)).To(Equal(http.StatusBadRequest))
	})
})
