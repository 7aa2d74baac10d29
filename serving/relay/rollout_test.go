package relay_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

var _ = Describe("Core in a roll-out", func() {
	var h *harness
	order := rollout.Order{Service: "s", To: "v2", Duration: 10 * time.Second, Revision: 3}
	stage := func(sequence uint64, state rollout.State, share float64) {
		h.core.HearRollouts([]rollout.Stage{{Service: "s", To: "v2", Revision: 3, Sequence: sequence, State: state, Share: share, Former: []string{"v1"}}}, nil)
	}
	upstream := func(id, version string) *catalog.Upstream {
		return &catalog.Upstream{ID: id, Service: "s", Slots: 100, Version: version}
	}
	// sent returns how many of 200 requests went to the new version, which answers with a
	// status.
	sent := func(status int) int {
		n := 0
		for range 200 {
			h.last++
			h.core.RequestArrived(relay.Request{Handle: h.last, ID: strconv.Itoa(int(h.last)), Host: "h", Path: "/once/x"}, h.now)
			for _, s := range actionsOf[relay.Send](h) {
				head := sealedOK
				if s.Upstream.Version == "v2" {
					n++
					head.Status = status
				}
				h.core.HeadReceived(s.Ref, head, h.now)
				h.core.ResponseEnded(s.Ref, h.now)
				h.core.Actions()
			}
		}
		return n
	}
	BeforeEach(func() {
		h = newHarness()
		h.core.SetUpstreams([]*catalog.Upstream{upstream("a", "v1"), upstream("b", "v2")}, h.now)
		h.core.SetRollouts(map[string]rollout.Order{"s": order})
	})

	It("divides requests by the stage", func() {
		Expect(sent(200)).To(BeZero())
		stage(1, rollout.Running, 0.25)
		Expect(sent(200)).To(BeNumerically("~", 50, 20))
		stage(2, rollout.Completed, 1)
		Expect(sent(200)).To(Equal(200))
	})

	It("divides nothing without an order", func() {
		h.core.SetRollouts(nil)
		Expect(sent(200)).To(BeNumerically(">", 0))
	})

	It("falls back to the other versions for lack of an upstream, but not once it is complete", func() {
		stage(1, rollout.Running, 1)
		h.core.SetUpstreams([]*catalog.Upstream{upstream("a", "v1")}, h.now)
		h.arrive("once")
		Expect(actionsOf[relay.Send](h)).To(HaveLen(1))
		stage(2, rollout.Completed, 1)
		h.arrive("once")
		Expect(actionsOf[relay.Send](h)).To(BeEmpty())
	})

	It("stops sending to a version that fails, before it is told to", func() {
		stage(1, rollout.Running, 0.5)
		Expect(sent(500)).To(BeNumerically("<", 60))
		Expect(sent(500)).To(BeZero())
	})
})
