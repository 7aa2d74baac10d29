package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

const second = clock.Instant(time.Second)

func always(admit.Entry) bool { return true }

func refusal(err error) request.Reason {
	GinkgoHelper()
	var refused *admit.RefusedError
	Expect(err).To(BeAssignableToTypeOf(refused))
	return err.(*admit.RefusedError).Reason
}

var _ = Describe("Queue", func() {
	entry := func(id uint64, customer string) admit.Entry {
		return admit.Entry{ID: id, Customer: customer, Pool: "llm", Deadline: 100 * second, PredictedWork: time.Second}
	}

	It("dispatches the most urgent entry first, and late ones after those on time", func() {
		q := admit.New(admit.Config{})
		for id, target := range []clock.Instant{0: 9 * second, 1: 3 * second, 2: 6 * second} {
			e := entry(uint64(id), "academy")
			e.FirstTokenBy = target
			Expect(q.Admit(e, 0)).To(Succeed())
		}
		var got []uint64
		for range 3 {
			e, ok := q.Next(4*second, always)
			Expect(ok).To(BeTrue())
			got = append(got, e.ID)
		}
		Expect(got).To(Equal([]uint64{2, 0, 1}))
	})

	It("refuses at the rate limit and at the concurrency limit", func() {
		q := admit.New(admit.Config{})
		q.SetCustomers([]admit.Customer{{Name: "a", RequestsPerSecond: 2}, {Name: "b", MaxConcurrent: 1}})
		Expect(q.Admit(entry(1, "a"), second)).To(Succeed())
		Expect(q.Admit(entry(2, "a"), second)).To(Succeed())
		Expect(refusal(q.Admit(entry(3, "a"), second))).To(Equal(request.LimitReached))
		Expect(q.Admit(entry(3, "a"), 2*second)).To(Succeed())
		Expect(q.Admit(entry(4, "b"), second)).To(Succeed())
		Expect(refusal(q.Admit(entry(5, "b"), second))).To(Equal(request.LimitReached))
	})

	It("refuses an entry that is predicted to miss its deadline", func() {
		q := admit.New(admit.Config{})
		Expect(q.Admit(entry(1, "a"), 0)).To(Succeed())
		_, ok := q.Next(0, always)
		Expect(ok).To(BeTrue())
		for id := uint64(2); id < 7; id++ {
			Expect(q.Admit(entry(id, "a"), 0)).To(Succeed())
		}
		late := entry(9, "a")
		late.Deadline = 5 * second
		late.FirstTokenBy = 200 * second
		Expect(refusal(q.Admit(late, 0))).To(Equal(request.DeadlineUnmet))
		late.Deadline = 8 * second
		Expect(q.Admit(late, 0)).To(Succeed())
	})

	It("makes room for a customer below its share when full", func() {
		q := admit.New(admit.Config{Capacity: 4})
		for id := range uint64(4) {
			Expect(q.Admit(entry(id, "large"), 0)).To(Succeed())
		}
		Expect(refusal(q.Admit(entry(8, "large"), 0))).To(Equal(request.Overloaded))
		Expect(q.Admit(entry(9, "small"), 0)).To(Succeed())
		dropped := q.DropExpired(0)
		Expect(dropped).To(HaveLen(1))
		Expect(dropped[0].Entry.Customer).To(Equal("large"))
		Expect(dropped[0].Reason).To(Equal(request.Overloaded))
	})

	It("passes over a pool without room", func() {
		q := admit.New(admit.Config{})
		Expect(q.Admit(entry(1, "a"), 0)).To(Succeed())
		other := entry(2, "a")
		other.Pool = "service"
		Expect(q.Admit(other, 0)).To(Succeed())
		e, ok := q.Next(0, func(e admit.Entry) bool { return e.Pool == "service" })
		Expect(ok).To(BeTrue())
		Expect(e.ID).To(Equal(uint64(2)))
	})
})
