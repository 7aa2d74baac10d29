package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

var _ = Describe("The ID of an attempt", func() {
	// Guards against a gateway that reattaches to, exports or cancels another's run.
	It("differs between gateways for the same key", func() {
		first, second := newFixture(), newFixtureAt("gateway-2")
		first.arrive(1, "k", true)
		second.arrive(1, "k", true)
		Expect(take[dispatch.Send](first).Ref).NotTo(Equal(take[dispatch.Send](second).Ref))
	})

	// Guards against an answer that gets tokens of an earlier request with its key.
	It("differs for a key that comes again after its request was forgotten", func() {
		f := newFixture()
		f.arrive(1, "k", true)
		forgotten := take[dispatch.Send](f)
		f.core.Completed(forgotten.Ref, dispatch.Usage{}, f.now)
		f.now = f.now.Add(2 * time.Minute)
		f.core.Tick(f.now)
		Expect(has[dispatch.Forget](f)).To(BeTrue())
		f.arrive(2, "k", true)
		take[dispatch.Send](f)
		f.core.PieceReceived(forgotten.Ref, 0, 1, "late ", f.now)
		Expect(has[dispatch.Deliver](f)).To(BeFalse())
	})

	It("stays the same when another gateway takes the request over", func() {
		from, to := newFixture(), newFixtureAt("gateway-2")
		from.arrive(1, "k", true)
		send := take[dispatch.Send](from)
		from.core.HandOver(from.now)
		to.core.TakeOver(7, take[dispatch.HandOver](from).Handoff, to.now)
		Expect(take[dispatch.Reattach](to).Ref.AttemptID).To(Equal(send.Ref.AttemptID))
	})
})
