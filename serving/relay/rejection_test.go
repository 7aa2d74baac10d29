package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// Guards against a caller being told by a status that its request has not run, when the
// upstream that has got it did not say so.
var _ = DescribeTable("A rejection that does not say that the request has not run",
	func(route string, status int, passesOn bool) {
		h := newHarness()
		h.upstreams("a")
		h.arrive(route)
		sends := actionsOf[relay.Send](h)
		Expect(sends).To(HaveLen(1))
		ref := sends[0].Ref
		h.core.HeadReceived(ref, relay.ResponseHead{Status: status, Sealed: true, NoEvents: true}, h.now)
		h.core.BodyReceived(ref, relay.BodyChunk{Bytes: []byte("full")}, h.now)
		h.advance(10 * time.Millisecond)
		h.core.ResponseEnded(ref, h.now)
		var want relay.Action = relay.Refuse{Handle: ref.Handle, Refusal: relay.Refusal{Reason: relay.Broken, RetryAfter: 300 * time.Millisecond}}
		if passesOn {
			want = relay.Reply{Ref: ref, Body: []byte("full")}
		}
		Expect(h.responses()).To(Equal([]relay.Action{want}))
		Expect(h.core.OpenRequests()).To(BeZero())
	},
	Entry("a call that may run once, 503", "once", 503, false),
	Entry("a call that may run once, 429", "once", 429, false),
	Entry("a call that may run once, 408", "once", 408, false),
	Entry("a stream that may not be resumed, 503", "single", 503, false),
	Entry("a stream that may not be resumed, 429", "single", 429, false),
	Entry("a call that may run once, 500", "once", 500, true),
	Entry("a call that may run once, 504", "once", 504, true),
	Entry("a call that may run once, 409", "once", 409, true),
	Entry("a call that may be repeated, 503", "safe", 503, true),
	Entry("a call that may be repeated, 429", "safe", 429, true),
	Entry("a stream that may be resumed, 429", "stream", 429, true),
)

// Guards against an outcome of a request whose caller has left being reported twice, or
// as not run.
var _ = Describe("A rejection that does not say that the request has not run, after the caller has left", func() {
	It("ends the request without a response", func() {
		h := newHarness()
		h.upstreams("a")
		h.arrive("once")
		ref := actionsOf[relay.Send](h)[0].Ref
		h.core.CallerGone(ref.Handle, h.now)
		h.core.HeadReceived(ref, relay.ResponseHead{Status: 503}, h.now)
		h.core.ResponseEnded(ref, h.now)
		var ended []relay.LogEntry
		for _, a := range h.core.Actions() {
			Expect(a).NotTo(BeAssignableToTypeOf(relay.Refuse{}))
			Expect(a).NotTo(BeAssignableToTypeOf(relay.Reply{}))
			if n, ok := a.(relay.LogEntry); ok {
				ended = append(ended, n)
			}
		}
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].NotRun).To(BeFalse())
		Expect(h.core.OpenRequests()).To(BeZero())
	})
})
