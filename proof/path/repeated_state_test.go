package path_test

import (
	"fmt"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/orders"
	"github.com/sycamorecourse/sycamorecourse/serving/order"
)

// Guards against a controller that takes an old state for the state after its order,
// or the refusal of an old order for that of a new one.
var _ = Describe("Orders to an engine that repeats its answers", func() {
	// staleFence is a fencing number that the engine refuses.
	const staleFence = 1

	// result is what a call of the client reported.
	type result struct {
		state *order.State
		err   error
	}

	var (
		client  *orders.Client
		engine  *repeatingUpstream
		results *ring.Ring[result]
	)

	BeforeEach(func() {
		var reads atomic.Uint64
		engine = startRepeatingUpstream(func(r *http.Request, body string) string {
			if body == fmt.Sprintf(`{"fencing":%d,"wanted":{"models":null,"adapters":null,"role":""}}`, staleFence) {
				return errorAnswer(http.StatusConflict, "stale_fencing")
			}
			return encodeAnswer(http.StatusOK, fmt.Sprintf(`{"last_fencing":%d}`, reads.Add(1)))
		})
		http := httpc.New(httpc.Config{})
		Expect(http.Open()).To(Succeed())
		running := thread.Start("client", http.Run)
		DeferCleanup(func() {
			http.Close()
			Expect(running.Join()).To(Succeed())
		})
		client = orders.New(http, callTimeout)
		results = ring.New[result]("results", 2)
	})

	done := func(state *order.State, err error) { _ = results.Offer(result{state: state, err: err}) }
	take := func() result {
		GinkgoHelper()
		r, err := results.Take()
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	It("reads each state anew", func() {
		for want := range uint64(2) {
			client.State(engine.address(), done)
			r := take()
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.state.LastFencing).To(Equal(want + 1))
		}
	})

	It("does not take an order for refused because the one before it was", func() {
		client.Order(engine.address(), staleFence, order.DesiredState{}, done)
		Expect(take().err).To(BeAssignableToTypeOf(&order.StaleError{}))
		client.Order(engine.address(), staleFence+1, order.DesiredState{}, done)
		Expect(take().err).NotTo(HaveOccurred())
	})
})
