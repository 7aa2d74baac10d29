package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

// arriveAs lets a request with an ID of its own arrive.
func (h *harness) arriveAs(route, id string) relay.Handle {
	h.last++
	h.core.RequestArrived(relay.Request{Handle: h.last, ID: id, Host: "h", Path: "/" + route + "/x"}, h.now)
	return h.last
}

// load lets requests arrive one after the other, each answered with the head that its
// upstream gives, and returns the refusals and the sends by upstream.
func (h *harness) load(route string, requests int, head func(id string) relay.ResponseHead) (refused []relay.Refusal, sent map[string]int) {
	sent = make(map[string]int)
	for i := range requests {
		h.arriveAs(route, fmt.Sprintf("load-%d-%d", h.now, i))
		for actions := h.core.Actions(); len(actions) > 0; actions = h.core.Actions() {
			for _, a := range actions {
				switch a := a.(type) {
				case relay.Refuse:
					refused = append(refused, a.Refusal)
				case relay.Send:
					sent[a.Upstream.ID]++
					h.core.HeadReceived(a.Ref, head(a.Upstream.ID), h.now)
					h.core.ResponseEnded(a.Ref, h.now)
				}
			}
		}
		h.advance(time.Millisecond)
	}
	return refused, sent
}

// Guards against requests to an upstream that has said in an answer that it is leaving,
// or to one that has asked for a pause.
var _ = Describe("Drain and backoff signals of upstreams", func() {
	var h *harness
	leaving := map[string]bool{}
	pausing := map[string]time.Duration{}
	head := func(id string) relay.ResponseHead {
		if wait, ok := pausing[id]; ok {
			return relay.ResponseHead{Status: 503, NotRun: true, RetryAfter: wait, Draining: leaving[id]}
		}
		return relay.ResponseHead{Status: 200, Sealed: true, Draining: leaving[id]}
	}
	BeforeEach(func() {
		h = newHarness()
		leaving, pausing = map[string]bool{}, map[string]time.Duration{}
	})

	DescribeTable("takes half of a pool that leaves under load out at their first words", func(route string) {
		h.upstreams("a", "b", "c", "d")
		h.load(route, 50, head)
		leaving["a"], leaving["c"] = true, true
		refused, _ := h.load(route, 50, head)
		Expect(refused).To(BeEmpty())
		refused, sent := h.load(route, 200, head)
		Expect(refused).To(BeEmpty())
		Expect(sent).NotTo(HaveKey("a"))
		Expect(sent).NotTo(HaveKey("c"))
		// A list that is behind changes nothing.
		h.upstreams("a", "b", "c", "d")
		_, sent = h.load(route, 100, head)
		Expect(sent).NotTo(HaveKey("a"))
	},
		Entry("idempotent", "safe"),
		Entry("non-idempotent", "once"),
		Entry("streams", "single"),
	)

	It("hears it in every answer", func() {
		for _, first := range []relay.ResponseHead{
			{Status: 200, Sealed: true, Draining: true},
			{Status: 500, Sealed: true, Draining: true},
			{Status: 503, NotRun: true, Draining: true},
			{Status: 404, Sealed: true, Draining: true},
		} {
			h = newHarness()
			h.upstreams("a")
			h.arriveAs("once", "x")
			s := actionsOf[relay.Send](h)[0]
			h.core.HeadReceived(s.Ref, first, h.now)
			Expect(actionsOf[relay.UpstreamDraining](h)).To(Equal([]relay.UpstreamDraining{{Incarnation: roster.Incarnation{ID: "a"}}}))
			h.core.ResponseEnded(s.Ref, h.now)
			h.core.Actions()
			h.arriveAs("once", "y")
			Expect(actionsOf[relay.Send](h)).To(BeEmpty())
		}
	})

	It("does not take the word of another upstream at the address for it, and starts afresh with a new start", func() {
		h.upstreams("a")
		h.arriveAs("once", "x")
		s := actionsOf[relay.Send](h)[0]
		h.core.HeadReceived(s.Ref, relay.ResponseHead{Status: 421, Misdirected: true, Draining: true}, h.now)
		Expect(actionsOf[relay.UpstreamDraining](h)).To(BeEmpty())
		h.core.SetUpstreams([]*catalog.Upstream{{ID: "a", Service: "s", Slots: 4, StartedAtMillis: 5}}, h.now)
		h.arriveAs("once", "y")
		Expect(actionsOf[relay.Send](h)).To(HaveLen(1))
	})

	It("resumes no stream at an upstream that is leaving", func() {
		h.upstreams("a", "b")
		leaving["a"], leaving["b"] = true, true
		h.load("once", 6, head)
		h.upstreams("a", "b")
		_, sent := h.load("stream", 10, head)
		Expect(sent).To(BeEmpty())
	})

	It("sends nothing to an upstream until its pause ends", func() {
		h.upstreams("a", "b")
		pausing["a"] = 2 * time.Second
		refused, sent := h.load("once", 100, head)
		Expect(refused).To(BeEmpty())
		Expect(sent["a"]).To(Equal(1))
		delete(pausing, "a")
		h.advance(1890 * time.Millisecond)
		_, sent = h.load("once", 5, head)
		Expect(sent).NotTo(HaveKey("a"))
		h.advance(time.Second)
		_, sent = h.load("once", 100, head)
		Expect(sent["a"]).To(BeNumerically(">", 0))
	})

	It("keeps a pause while the list lacks the upstream for a moment", func() {
		h.upstreams("a", "b")
		pausing["a"], pausing["b"] = 2*time.Second, 2*time.Second
		h.load("once", 5, head)
		h.upstreams("b")
		h.upstreams("a", "b")
		_, sent := h.load("once", 5, head)
		Expect(sent).To(BeEmpty())
	})

	It("refuses at once where all have asked for a pause, and lets callers return spread after the shortest", func() {
		h.upstreams("a", "b", "c")
		pausing["a"], pausing["b"], pausing["c"] = 3*time.Second, 2*time.Second, 4*time.Second
		h.load("once", 10, head)
		shortest := 2 * time.Second
		refused, sent := h.load("once", 200, head)
		Expect(sent).To(BeEmpty())
		Expect(refused).To(HaveLen(200))
		waits := map[time.Duration]int{}
		for i, r := range refused {
			Expect(r.NotRun).To(BeTrue())
			passed := time.Duration(i+10) * time.Millisecond
			Expect(r.RetryAfter).To(BeNumerically(">=", shortest-passed))
			Expect(r.RetryAfter).To(BeNumerically("<=", shortest+shortest/4))
			waits[(r.RetryAfter+passed)/(100*time.Millisecond)]++
		}
		Expect(len(waits)).To(BeNumerically(">=", 4))
	})

	It("ignores a pause that can't be read or is too long, and says so once", func() {
		for _, bad := range []relay.ResponseHead{
			{Status: 503, NotRun: true, BadRetryAfter: true},
			{Status: 503, NotRun: true, RetryAfter: 2 * time.Hour},
		} {
			h = newHarness()
			h.upstreams("a")
			logged := 0
			for i := range 5 {
				h.arriveAs("once", fmt.Sprint(i))
				sends := actionsOf[relay.Send](h)
				Expect(sends).To(HaveLen(1))
				h.core.HeadReceived(sends[0].Ref, bad, h.now)
				logged += len(actionsOf[relay.UpstreamPaused](h))
				h.core.ResponseEnded(sends[0].Ref, h.now)
				h.core.Actions()
				h.advance(200 * time.Millisecond)
				h.core.Actions()
			}
			Expect(logged).To(Equal(1))
		}
	})
})
