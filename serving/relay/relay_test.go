package relay_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// harness drives a core step by step.
type harness struct {
	core *relay.Core
	now  clock.Instant
	last relay.Handle
}

func newHarness() *harness {
	h := &harness{now: clock.Instant(time.Hour)}
	h.core = relay.New(relay.Config{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second})
	h.core.Configure(testCatalog(1), h.now)
	return h
}

func testCatalog(version uint64) *catalog.Catalog {
	route := func(name string, kind catalog.Kind, attempts int, resumable bool) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond,
			Services: []catalog.WeightedService{{Service: "s", Weight: 1}}, Public: true,
		}
	}
	return catalog.New(version, []*catalog.Route{
		route("once", catalog.NonIdempotent, 1, false),
		route("safe", catalog.Idempotent, 2, false),
		route("stream", catalog.Stream, 2, true),
		route("single", catalog.Stream, 1, false),
	}, nil, []*catalog.Customer{{Name: "acme", Credentials: []string{"k"}, Rate: 10, Burst: 4}}, catalog.Limits{})
}

func (h *harness) upstreams(ids ...string) {
	var list []*catalog.Upstream
	for _, id := range ids {
		list = append(list, &catalog.Upstream{ID: id, Service: "s", Slots: 4})
	}
	h.core.SetUpstreams(list, h.now)
}

func (h *harness) arrive(route string) relay.Handle {
	h.last++
	h.core.RequestArrived(relay.Request{Handle: h.last, ID: "id", Host: "h", Path: "/" + route + "/x"}, h.now)
	return h.last
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.core.Tick(h.now)
}

// actionsOf returns the pending actions of one type.
func actionsOf[T relay.Action](h *harness) []T {
	var list []T
	for _, a := range h.core.Actions() {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// responses returns the pending actions except LogEntry and RecordUsage.
func (h *harness) responses() []relay.Action {
	var list []relay.Action
	for _, a := range h.core.Actions() {
		switch a.(type) {
		case relay.LogEntry, relay.RecordUsage:
		default:
			list = append(list, a)
		}
	}
	return list
}

var sealedOK = relay.ResponseHead{Status: 200, Sealed: true}

var _ = Describe("Core", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.upstreams("a", "b")
	})
	nextSend := func() relay.Send {
		list := actionsOf[relay.Send](h)
		ExpectWithOffset(1, list).To(HaveLen(1))
		return list[0]
	}

	It("passes a response on", func() {
		h.arrive("once")
		s := nextSend()
		Expect(s.Timeout).To(Equal(time.Second))
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("body")}, h.now)
		h.core.ResponseEnded(s.Ref, h.now)
		Expect(h.responses()).To(Equal([]relay.Action{relay.Reply{Ref: s.Ref, Body: []byte("body")}}))
		Expect(h.core.OpenRequests()).To(BeZero())
	})

	It("neither repeats a non-idempotent request that may have run nor refuses it as not run", func() {
		h.arrive("once")
		s := nextSend()
		h.core.AttemptFailed(s.Ref, relay.Failure{Detail: "reset"}, h.now)
		refused := actionsOf[relay.Refuse](h)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Refusal.NotRun).To(BeFalse())
	})

	It("retries a non-idempotent request that was not sent or not run", func() {
		h.arrive("once")
		first := nextSend()
		h.core.AttemptFailed(first.Ref, relay.Failure{NotSent: true}, h.now)
		second := nextSend()
		Expect(second.Upstream.ID).NotTo(Equal(first.Upstream.ID))
		h.core.HeadReceived(second.Ref, relay.ResponseHead{Status: 503, NotRun: true}, h.now)
		h.core.ResponseEnded(second.Ref, h.now)
		refused := actionsOf[relay.Refuse](h)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Refusal.NotRun).To(BeTrue())
		Expect(refused[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("treats a success response without a seal as broken", func() {
		h.arrive("once")
		s := nextSend()
		h.core.HeadReceived(s.Ref, relay.ResponseHead{Status: 200}, h.now)
		h.core.ResponseEnded(s.Ref, h.now)
		Expect(actionsOf[relay.Refuse](h)[0].Refusal.Reason).To(Equal(relay.Broken))
	})

	It("resumes a resumable stream after the last event and drops repeated events", func() {
		h.arrive("stream")
		s := nextSend()
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("12"), FirstEvent: 1, LastEvent: 2}, h.now)
		Expect(h.responses()).To(Equal([]relay.Action{relay.StartStream{Ref: s.Ref}, relay.WriteStream{Handle: 1, Bytes: []byte("12")}}))
		h.core.AttemptFailed(s.Ref, relay.Failure{Detail: "reset"}, h.now)
		again := nextSend()
		Expect(again.LastEventID).To(Equal(int64(2)))
		h.core.HeadReceived(again.Ref, sealedOK, h.now)
		h.core.BodyReceived(again.Ref, relay.BodyChunk{Bytes: []byte("2"), FirstEvent: 2, LastEvent: 2}, h.now)
		h.core.BodyReceived(again.Ref, relay.BodyChunk{Bytes: []byte("3"), FirstEvent: 3, LastEvent: 3}, h.now)
		h.core.ResponseEnded(again.Ref, h.now)
		Expect(h.responses()).To(Equal([]relay.Action{relay.WriteStream{Handle: 1, Bytes: []byte("3")}, relay.EndStream{Handle: 1}}))
	})

	It("moves a resumable stream that pauses too long to another upstream", func() {
		h.arrive("stream")
		s := nextSend()
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("1"), FirstEvent: 1, LastEvent: 1}, h.now)
		h.core.Actions()
		h.advance(400 * time.Millisecond)
		actions := h.responses()
		Expect(actions).To(ContainElement(relay.Cancel{Ref: s.Ref}))
		Expect(actions).To(ContainElement(BeAssignableToTypeOf(relay.Send{})))
	})

	It("aborts a broken stream that may not be resumed", func() {
		h.arrive("single")
		s := nextSend()
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("1"), FirstEvent: 1, LastEvent: 1}, h.now)
		h.core.AttemptFailed(s.Ref, relay.Failure{}, h.now)
		Expect(h.responses()).To(ContainElement(relay.Abort{Handle: 1}))
	})

	It("times out a request at its deadline", func() {
		h.arrive("once")
		s := nextSend()
		h.advance(time.Second)
		Expect(h.responses()).To(Equal([]relay.Action{
			relay.Cancel{Ref: s.Ref},
			relay.Refuse{Handle: 1, Refusal: relay.Refusal{Reason: relay.TimedOut, RetryAfter: 300 * time.Millisecond}},
		}))
	})

	It("cancels the attempt of a disconnected caller unless the route is non-idempotent", func() {
		handle := h.arrive("stream")
		s := nextSend()
		h.core.CallerGone(handle, h.now)
		Expect(h.responses()).To(Equal([]relay.Action{relay.Cancel{Ref: s.Ref}}))
		handle = h.arrive("once")
		s = nextSend()
		h.core.CallerGone(handle, h.now)
		Expect(h.responses()).To(BeEmpty())
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		h.core.ResponseEnded(s.Ref, h.now)
		Expect(h.responses()).To(BeEmpty())
		Expect(h.core.OpenRequests()).To(BeZero())
	})

	// Guards against an upstream that is left out for good after it was ejected once.
	DescribeTable("gives an ejected upstream another try after one that told nothing", func(end func(s relay.Send)) {
		h.upstreams("a", "b", "c", "d")
		preferred := ""
		for range 2 {
			h.arrive("once")
			s := nextSend()
			preferred = s.Upstream.ID
			h.core.AttemptFailed(s.Ref, relay.Failure{Detail: "reset"}, h.now)
		}
		for range 3 {
			h.advance(20 * time.Second)
			h.core.Actions()
			h.arrive("once")
			s := nextSend()
			Expect(s.Upstream.ID).To(Equal(preferred))
			end(s)
			h.core.Actions()
		}
	},
		Entry("rejected as not run", func(s relay.Send) {
			h.core.HeadReceived(s.Ref, relay.ResponseHead{Status: 503, NotRun: true}, h.now)
			h.core.ResponseEnded(s.Ref, h.now)
		}),
		Entry("timed out while events came", func(s relay.Send) {
			h.advance(900 * time.Millisecond)
			h.core.HeadReceived(s.Ref, sealedOK, h.now)
			h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte(": x"), HasData: true}, h.now)
			h.advance(200 * time.Millisecond)
		}),
		Entry("without a seal", func(s relay.Send) {
			h.core.HeadReceived(s.Ref, relay.ResponseHead{Status: 200}, h.now)
			h.core.ResponseEnded(s.Ref, h.now)
		}),
	)

	It("treats an upstream that restarted under its ID as a new one", func() {
		h.arrive("once")
		s := nextSend()
		h.core.HeadReceived(s.Ref, relay.ResponseHead{Status: 421, Misdirected: true}, h.now)
		h.core.ResponseEnded(s.Ref, h.now)
		second := nextSend()
		Expect(second.Upstream.ID).NotTo(Equal(s.Upstream.ID))
		h.core.SetUpstreams([]*catalog.Upstream{{ID: s.Upstream.ID, Service: "s", Slots: 1, StartedAtMillis: 7}}, h.now)
		h.arrive("once")
		Expect(nextSend().Upstream.StartedAtMillis).To(Equal(int64(7)))
	})

	It("ignores an older configuration", func() {
		h.core.Configure(testCatalog(5), h.now)
		h.core.Configure(catalog.New(4, nil, nil, nil, catalog.Limits{}), h.now)
		h.arrive("once")
		Expect(actionsOf[relay.Send](h)).To(HaveLen(1))
	})

	It("refuses requests as not run before a configuration is known", func() {
		h.core = relay.New(relay.Config{})
		h.arrive("once")
		Expect(actionsOf[relay.Refuse](h)[0].Refusal).To(Equal(relay.Refusal{
			Reason: relay.NotConfigured, NotRun: true, RetryAfter: 500 * time.Millisecond,
		}))
	})

	It("holds a customer to this gateway's share of its limit", func() {
		passed := func(seconds int) int {
			n := 0
			for range seconds * 100 {
				h.advance(10 * time.Millisecond)
				h.last++
				h.core.RequestArrived(relay.Request{Handle: h.last, ID: "id", Host: "h", Path: "/once/x", Credential: "k"}, h.now)
				for _, s := range actionsOf[relay.Send](h) {
					n++
					h.core.HeadReceived(s.Ref, sealedOK, h.now)
					h.core.ResponseEnded(s.Ref, h.now)
					h.core.Actions()
				}
			}
			return n
		}
		Expect(passed(10)).To(BeNumerically("~", 102, 3))
		h.core.SetDivision(cluster.Division{Gateways: 4, Limits: limit.Division{Share: 0.25}}, h.now)
		// What was used before the division counts for a window.
		passed(9)
		Expect(passed(10)).To(BeNumerically("~", 25, 2))
	})

	DescribeTable("admits a customer's requests while all that may have been used stays below its limit", func(gateways int, used, reserved float64, isNew, stale, lends bool, least, most int) {
		// The limit is 10 requests per second with a burst of 4, or 84 in a window.
		peers := float64(gateways - 1)
		self := "g"
		divide := func() {
			d := cluster.Division{Gateways: gateways, Stale: stale}
			d.Limits = limit.Division{Instance: self, IsReady: true, Share: 1 / float64(gateways), CurrentFor: 2 * time.Second}
			if !stale {
				d.Limits.CurrentUntil = h.now.Add(2 * time.Second)
			}
			for i := range gateways - 1 {
				name := strconv.Itoa(i)
				d.Limits.Peers = append(d.Limits.Peers, limit.Peer{
					Holder: limit.Holder{Instance: name, Address: name}, IsReady: true, CountedAt: h.now, Share: d.Limits.Share,
					Used:     map[string]limit.Use{"acme": {used / peers}},
					Reserves: map[string]limit.Reserve{"acme": {Amount: reserved / peers, Pace: 0.01, ActiveIn: -4 * time.Second}},
				})
			}
			h.core.SetDivision(d, h.now)
			h.core.PublishUse(h.now)
		}
		divide()
		// In a large cluster only some gateways admit requests by themselves.
		for i := 0; !h.core.Snapshot(h.now).Limits["acme"].IsHolder; i++ {
			self = "g" + strconv.Itoa(i)
			divide()
		}
		// send sends requests at once and returns how many go to an upstream. Other holders
		// admit what they are asked about, or nothing.
		send := func(count int) int {
			sent := 0
			for range count {
				h.last++
				h.core.RequestArrived(relay.Request{Handle: h.last, ID: strconv.FormatUint(uint64(h.last), 10), Host: "h", Path: "/once/x", Credential: "k"}, h.now)
				for actions := h.core.Actions(); len(actions) > 0; actions = h.core.Actions() {
					for _, a := range actions {
						switch a := a.(type) {
						case relay.AskHolder:
							outcome := limit.Empty
							if lends {
								outcome = limit.Admitted
							}
							h.core.LimitAnswered(a.Handle, limit.Decision{Outcome: outcome}, h.now)
						case relay.Send:
							sent++
							h.core.HeadReceived(a.Ref, sealedOK, h.now)
							h.core.ResponseEnded(a.Ref, h.now)
						}
					}
				}
			}
			return sent
		}
		// A first request tells how large they are.
		if !isNew {
			send(1)
			for range 12 {
				h.advance(500 * time.Millisecond)
				divide()
			}
		}
		sent := send(12)
		Expect(sent).To(BeNumerically(">=", least))
		Expect(sent).To(BeNumerically("<=", most))
	},
		Entry("all while it is far below its limit, with few gateways", 4, 8.0, 8.0, false, false, true, 12, 12),
		Entry("few near its limit, with few gateways", 4, 72.0, 8.0, false, false, false, 0, 4),
		Entry("its share with few gateways while their use is not known", 4, 8.0, 8.0, false, true, true, 0, 2),
		Entry("all while it is below its limit", 300, 44.0, 8.0, false, false, true, 12, 12),
		Entry("some of what comes at once while much is used", 300, 60.0, 8.0, false, false, false, 1, 6),
		Entry("none once the limit is used", 300, 84.0, 0.0, false, false, true, 0, 0),
		Entry("none once the others may have used it", 300, 44.0, 40.0, false, false, true, 0, 0),
		Entry("all, also at a gateway that has just started", 300, 16.0, 8.0, true, false, true, 12, 12),
		Entry("its share at a gateway that can't read what the others use", 300, 44.0, 8.0, false, true, true, 0, 1),
	)

	It("neither repeats nor gives up what runs at an upstream that falls silent for the store", func() {
		h.arrive("stream")
		s := nextSend()
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("1"), FirstEvent: 1, LastEvent: 1, HasData: true}, h.now)
		other := "a"
		if s.Upstream.ID == "a" {
			other = "b"
		}
		h.upstreams(other)
		h.advance(100 * time.Millisecond)
		h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("2"), FirstEvent: 2, LastEvent: 2, HasData: true}, h.now)
		h.upstreams("a", "b")
		h.core.ResponseEnded(s.Ref, h.now)
		actions := h.core.Actions()
		for _, a := range actions {
			Expect(a).NotTo(BeAssignableToTypeOf(relay.Send{}))
			Expect(a).NotTo(BeAssignableToTypeOf(relay.Cancel{}))
		}
		Expect(actions).To(ContainElement(relay.EndStream{Handle: h.last}))
	})

	It("does not take comments for progress: a stream that only sends these is retried elsewhere", func() {
		h.arrive("stream")
		s := nextSend()
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		for range 5 {
			h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte(": wait\n\n")}, h.now)
			h.advance(50 * time.Millisecond)
		}
		again := nextSend()
		Expect(again.Upstream.ID).NotTo(Equal(s.Upstream.ID))
	})

	It("lets a stream go on that is slow but makes progress", func() {
		h.arrive("single")
		s := nextSend()
		h.core.HeadReceived(s.Ref, sealedOK, h.now)
		for i := range int64(9) {
			h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("x"), FirstEvent: i + 1, LastEvent: i + 1, HasData: true}, h.now)
			h.advance(100 * time.Millisecond)
		}
		h.core.ResponseEnded(s.Ref, h.now)
		Expect(h.responses()).To(ContainElement(relay.EndStream{Handle: h.last}))
	})

	It("refuses a request that would miss its target by waiting behind others", func() {
		h.upstreams("a")
		prompt := &relay.Prompt{Tokens: 1000, Parts: []relay.PromptPart{{ID: 1, Tokens: 1000}}}
		ask := func() {
			h.last++
			h.core.RequestArrived(relay.Request{Handle: h.last, ID: "id", Host: "h", Path: "/single/x", Prompt: prompt}, h.now)
		}
		ask()
		Expect(actionsOf[relay.Send](h)).To(HaveLen(1))
		h.advance(500 * time.Millisecond)
		ask()
		refused := actionsOf[relay.Refuse](h)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Refusal.Reason).To(Equal(relay.Overloaded))
		Expect(refused[0].Refusal.NotRun).To(BeTrue())
	})

	It("keeps the requests of a session at one upstream while it has capacity", func() {
		h.upstreams("a", "b", "c", "d")
		where := make(map[string]bool)
		for i := range 8 {
			prompt := &relay.Prompt{Tokens: 900, Parts: []relay.PromptPart{{ID: 1, Tokens: 400}, {ID: 2, Tokens: 400}, {ID: uint64(100 + i), Tokens: 100}}}
			h.last++
			h.core.RequestArrived(relay.Request{Handle: h.last, ID: string(rune('a' + i)), Host: "h", Path: "/single/x", Prompt: prompt}, h.now)
			s := nextSend()
			where[s.Upstream.ID] = true
			h.core.HeadReceived(s.Ref, sealedOK, h.now)
			h.core.BodyReceived(s.Ref, relay.BodyChunk{Bytes: []byte("1"), FirstEvent: 1, LastEvent: 1}, h.now)
			h.core.ResponseEnded(s.Ref, h.now)
			h.core.Actions()
		}
		Expect(where).To(HaveLen(1))
	})
})

var _ = Describe("A draining core", func() {
	It("accepts requests that end in time, and streams while no other gateway can take them", func() {
		h := newHarness()
		h.upstreams("a", "b")
		h.core.Drain(h.now.Add(6*time.Second), h.now.Add(6*time.Second))
		h.arrive("single")
		Expect(actionsOf[relay.Send](h)).To(HaveLen(1))
		h.core.SetReadyPeers(1)
		h.arrive("single")
		Expect(actionsOf[relay.Refuse](h)[0].Refusal.Reason).To(Equal(relay.Draining))
		h.arrive("once")
		Expect(actionsOf[relay.Send](h)).To(HaveLen(1))
		h.advance(5500 * time.Millisecond)
		h.core.Actions()
		h.arrive("once")
		Expect(actionsOf[relay.Refuse](h)[0].Refusal).To(Equal(relay.Refusal{Reason: relay.Draining, NotRun: true, RetryAfter: 300 * time.Millisecond}))
	})
})

var _ = Describe("Customer limits", func() {
	It("exceed the limit over all gateways by no more than the slack, and admit requests that are large for a gateway's share", func() {
		const gateways, slack = 4, 20.0
		var cores []*harness
		for range gateways {
			h := newHarness()
			h.core = relay.New(relay.Config{LimitSlack: slack})
			h.core.Configure(testCatalog(1), h.now)
			h.core.SetDivision(cluster.Division{Gateways: gateways, Limits: limit.Division{Share: 1.0 / gateways}}, h.now)
			h.upstreams("a")
			cores = append(cores, h)
		}
		passed := 0
		for range 800 {
			for _, h := range cores {
				h.advance(10 * time.Millisecond)
				h.last++
				h.core.RequestArrived(relay.Request{Handle: h.last, ID: "id", Host: "h", Path: "/once/x", Credential: "k"}, h.now)
				for _, s := range actionsOf[relay.Send](h) {
					passed++
					h.core.HeadReceived(s.Ref, sealedOK, h.now)
					h.core.ResponseEnded(s.Ref, h.now)
					h.core.Actions()
				}
			}
		}
		Expect(passed).To(BeNumerically("<=", 8*10+4+slack))
		Expect(passed).To(BeNumerically(">=", 8*10))
	})
})
