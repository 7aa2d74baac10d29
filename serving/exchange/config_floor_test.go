package exchange_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// Guards against a process that starts on the copy of a restored store and serves what the
// others know to be withdrawn.
var _ = Describe("ConfigFloor", func() {
	It("allows any configuration of a store that was never restored", func() {
		f := exchange.NewConfigFloor(at(0))
		Expect(f.Allows(3, 0, at(0))).To(BeTrue())
		Expect(f.Allows(3, 1, at(0))).To(BeTrue())
	})

	It("waits for the records of the others, for a bounded time", func() {
		f := exchange.NewConfigFloor(at(0))
		Expect(f.Allows(3, 2, at(time.Second))).To(BeFalse())
		Expect(f.Allows(3, 2, at(2*time.Second))).To(BeTrue())
		f.Heard(0)
		Expect(f.Allows(3, 2, at(time.Second))).To(BeTrue())
	})

	It("waits for the newest configuration that it has heard of, for a bounded time", func() {
		f := exchange.NewConfigFloor(at(0))
		f.Heard(9)
		f.Heard(7)
		Expect(f.Allows(8, 2, at(9*time.Second))).To(BeFalse())
		Expect(f.Allows(9, 2, at(0))).To(BeTrue())
		Expect(f.Allows(8, 2, at(10*time.Second))).To(BeTrue())
	})
})
