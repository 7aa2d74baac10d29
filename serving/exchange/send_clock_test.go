package exchange_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// Guards against responses that waited in a busy link and count as current.
var _ = Describe("SendClock", func() {
	start := clock.Instant(time.Hour)
	const storeStart = 17 * time.Second
	// arrive returns when a response seems to have been sent at an instant that arrives
	// after a delay.
	arrive := func(c *exchange.SendClock, sent, delay time.Duration) time.Duration {
		return c.SentAt(storeStart+sent, start.Add(sent+delay)).Sub(start)
	}

	It("dates a response that waited by the store's clock", func() {
		var c exchange.SendClock
		Expect(arrive(&c, time.Second, 4*time.Millisecond)).To(Equal(1004 * time.Millisecond))
		Expect(arrive(&c, 2*time.Second, 3*time.Second)).To(Equal(2004 * time.Millisecond))
	})

	It("corrects itself with the first response that did not wait", func() {
		var c exchange.SendClock
		Expect(arrive(&c, time.Second, 2*time.Second)).To(Equal(3 * time.Second))
		Expect(arrive(&c, 4*time.Second, time.Millisecond)).To(Equal(4001 * time.Millisecond))
		Expect(arrive(&c, 5*time.Second, 2*time.Second)).To(Equal(5001 * time.Millisecond))
	})

	It("never dates a response later than its arrival", func() {
		var c exchange.SendClock
		for i := range 100 {
			sent, delay := time.Duration(i)*100*time.Millisecond, time.Duration((i*37)%50)*time.Millisecond
			Expect(arrive(&c, sent, delay)).To(BeNumerically("<=", sent+delay))
		}
	})

	It("takes over a clock that was started anew, and ignores a missing one", func() {
		var c exchange.SendClock
		Expect(arrive(&c, time.Hour, 0)).To(Equal(time.Hour))
		Expect(c.SentAt(time.Second, start.Add(2*time.Hour))).To(Equal(start.Add(2 * time.Hour)))
		Expect(c.SentAt(0, start)).To(Equal(start))
	})
})
