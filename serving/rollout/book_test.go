package rollout_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

// Guards against roll-outs that end or begin anew since the restored store has lost their
// orders, or has earlier ones, until the operator has written them again.
var _ = Describe("The orders of a store that was restored from an older copy", func() {
	const start = clock.Instant(time.Hour)
	var b *rollout.Book
	list := func(timeline uint64, orders ...rollout.Order) rollout.Reading {
		return rollout.Reading{Timeline: timeline, IsList: true, Orders: orders}
	}
	feed := func(timeline uint64) rollout.Reading {
		return rollout.Reading{Timeline: timeline}
	}
	known := orderOf(newVersion, 1, restoredVersion)
	BeforeEach(func() {
		b = rollout.NewBook()
		Expect(b.Apply(list(1, known), start)).To(BeTrue())
	})

	It("are kept for a time until they are there again", func() {
		Expect(b.Apply(list(2), start)).To(BeFalse())
		Expect(b.Expire(start.Add(9 * time.Second))).To(BeFalse())
		Expect(b.Orders()).To(HaveKeyWithValue(service, known))
		Expect(b.Expire(start.Add(rollout.RestoreGrace))).To(BeTrue())
		Expect(b.Orders()).To(BeEmpty())
	})

	It("get new revisions when they are there again, and can be removed", func() {
		again := orderOf(newVersion, 2, 35)
		b.Apply(list(2), start)
		written := feed(2)
		written.Orders = []rollout.Order{again}
		Expect(b.Apply(written, start)).To(BeTrue())
		Expect(b.Orders()).To(HaveKeyWithValue(service, again))
		removed := feed(2)
		removed.Removed = []string{service}
		Expect(b.Apply(removed, start)).To(BeTrue())
		Expect(b.Orders()).To(BeEmpty())
	})

	It("can be removed before they are there again", func() {
		b.Apply(list(2), start)
		removed := feed(2)
		removed.Removed = []string{service}
		Expect(b.Apply(removed, start)).To(BeTrue())
		Expect(b.Orders()).To(BeEmpty())
	})

	It("are not replaced by earlier ones of the copy", func() {
		earlier := orderOf(oldVersion, 2, 20)
		Expect(b.Apply(list(2, earlier), start)).To(BeFalse())
		Expect(b.Orders()).To(HaveKeyWithValue(service, known))
		again := feed(2)
		again.Orders = []rollout.Order{orderOf(newVersion, 2, 33)}
		b.Apply(again, start)
		Expect(b.Orders()).To(HaveKeyWithValue(service, again.Orders[0]))
	})

	It("are replaced by those of the copy if they are not written again", func() {
		earlier := orderOf(oldVersion, 2, 20)
		b.Apply(list(2, earlier), start)
		Expect(b.Expire(start.Add(rollout.RestoreGrace))).To(BeTrue())
		Expect(b.Orders()).To(HaveKeyWithValue(service, earlier))
	})
})
