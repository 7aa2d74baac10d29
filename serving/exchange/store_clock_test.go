package exchange_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

var _ = Describe("StoreClock", func() {
	It("does not fall behind while hubs tell each other, however long that takes", func() {
		const delay = 15 * time.Millisecond
		var hubs [5]exchange.StoreClock
		for i := range hubs {
			hubs[i].Read(time.Minute, at(0))
		}
		now := time.Duration(0)
		for step := range 400 {
			from, to := step%5, (step+1+step/5%4)%5
			said := hubs[from].Now(at(now))
			now += delay
			hubs[to].Heard(said, at(now))
		}
		for i := range hubs {
			Expect(hubs[i].Now(at(now))).To(Equal(time.Minute + now))
		}
	})

	It("catches up after the process was suspended", func() {
		var c exchange.StoreClock
		c.Read(time.Minute, at(0))
		// The monotonic clock did not count the suspension.
		c.Heard(time.Minute+5*time.Second, at(time.Second))
		Expect(c.Now(at(2 * time.Second))).To(Equal(time.Minute + 6*time.Second))
	})

	It("is not known before the first word of it", func() {
		var c exchange.StoreClock
		Expect(c.IsKnown()).To(BeFalse())
		c.Heard(0, at(0))
		Expect(c.IsKnown()).To(BeFalse())
		Expect(c.Now(at(0))).To(BeZero())
		c.Heard(time.Second, at(0))
		Expect(c.IsKnown()).To(BeTrue())
	})
})
