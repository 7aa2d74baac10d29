package weights_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	client "github.com/sycamorecourse/sycamorecourse/edge/platform/weights"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/weights"
)

func TestWeights(t *testing.T) {
	hosttest.Run(t, "weight store and its client")
}

var _ = Describe("Client and Weights", func() {
	const shortTimeout = 200 * time.Millisecond

	var (
		store *weights.Store
		c     *client.Client
	)

	open := func(config weights.Config, timeout time.Duration) {
		config.Address = "127.0.0.1:0"
		store = weights.New(config)
		Expect(store.Open()).To(Succeed())
		hosttest.Start(store)
		c = client.New(client.Config{Address: store.Address(), Timeout: timeout}, hosttest.StartClient())
	}
	fetch := func(model string) (client.Manifest, error) {
		p := hosttest.NewPending[client.Manifest]()
		c.Fetch(model, "v 1", p.Done)
		return p.Wait()
	}

	It("returns the manifest of the weights", func() {
		open(weights.Config{Bytes: 100}, 0)
		Expect(fetch("m")).To(Equal(client.Manifest{Model: "m", Version: "v 1", Bytes: 100}))
	})

	It("shares the read rate among all readers", func() {
		open(weights.Config{Bytes: 100, BytesPerSecond: 100}, shortTimeout)
		_, err := fetch("m")
		Expect(err).NotTo(HaveOccurred())
		_, err = fetch("n")
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
	})

	It("rejects calls above the rate limit", func() {
		open(weights.Config{CallsPerSecond: 0.0001}, 0)
		_, err := fetch("m")
		Expect(err).NotTo(HaveOccurred())
		_, err = fetch("m")
		Expect(err).To(BeAssignableToTypeOf(&client.ThrottledError{}))
	})

	It("returns not found for an empty model name", func() {
		open(weights.Config{}, 0)
		_, err := fetch("")
		Expect(err).To(BeAssignableToTypeOf(&platform.NotFoundError{}))
	})

	DescribeTable("with a fault",
		func(f host.Faults) {
			open(weights.Config{}, 0)
			hosttest.SetFaults(store.Address(), f)
			_, err := fetch("m")
			Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
		},
		Entry("down", host.Faults{Down: true}),
		Entry("failing", host.Faults{Down: true, Mode: host.ModeError}),
		Entry("cutting", host.Faults{Down: true, Mode: host.ModeCut}),
		Entry("losing the answer", host.Faults{LoseAnswers: 1}),
		Entry("losing the request", host.Faults{LoseRequests: 1}),
	)
})
