package pollers_test

import (
	"testing"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

func TestPollers(t *testing.T) {
	netlog.Install(zerolog.Nop())
	RegisterFailHandler(Fail)
	RunSpecs(t, "pollers")
}

var _ = Describe("Await", func() {
	// Without Await, Stop may block forever, because a poller that has not started
	// yet loses the request to stop.
	It("allows an engine to be stopped right after its start", func() {
		for range 200 {
			engine := nbhttp.NewEngine(nbhttp.Config{NPoller: 3, LockPoller: true, SupportServerOnly: true})
			Expect(engine.Start()).To(Succeed())
			Expect(pollers.Await(engine.Engine)).To(Succeed())
			engine.Stop()
		}
	})

	It("works with an engine without HTTP", func() {
		engine := nbio.NewEngine(nbio.Config{NPoller: 2})
		engine.OnData(func(c *nbio.Conn, data []byte) { c.DataHandler()(c, data) })
		Expect(engine.Start()).To(Succeed())
		Expect(pollers.Await(engine)).To(Succeed())
		engine.Stop()
	})
})
