package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// Guards against a sound upstream that gets no requests, since a restored store had lost its
// entry for longer than the grace period: gateways took it for one that had left, did not
// believe the next restored store, and told gateways that started (the soak's seed 3).
var _ = Describe("An upstream whose entry a restored store had lost", func() {
	It("gets requests of all gateways as soon as the next restored store has it", func() {
		const rewriteNever = time.Minute
		d := startDrillSite(true)
		copied := d.now()
		d.upstream("app", replica.Config{ID: "b"})
		time.Sleep(knownTime)
		d.startSlowDrill(copied, tableAway, rewriteNever)
		d.awaitBack(1)
		time.Sleep(serveTime)
		// None may see the entry before the copy that has it. By then the open reads have ended,
		// and the grace period too.
		hosttest.SetFaults(d.store.Address(), host.Faults{Down: true, Mode: host.ModeCut})
		time.Sleep(settledTime)
		d.register("app", "b", operator.Ready)
		d.startInDrill(d.now().Add(time.Millisecond), 1, 2, rewriteNever)
		for name, g := range d.gateways {
			seal := func() string { return g.ask("POST", "/safe/x", "key", "b").header.Get("Response-Seal") }
			Eventually(seal, settledTime, "20ms").Should(Equal("seal-b"), name+" does not use the upstream")
		}
	})
})
