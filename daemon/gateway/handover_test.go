package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// sentMessages is a sender that keeps what is sent.
type sentMessages struct {
	list []wire.Message
}

func (s *sentMessages) Send(_ string, m wire.Message) error {
	s.list = append(s.list, m)
	return nil
}

var _ = Describe("A hand-over", func() {
	now := clock.Instant(time.Hour)
	peer := wire.Hello{Role: Role, Instance: "b", Incarnation: 1}
	// start returns the hand-overs of a process of the same gateway that has just started.
	start := func() (*handover, *sentMessages) {
		d := newDispatcher(&Settings{Instance: "a"}, zerolog.Nop(), prometheus.NewRegistry(),
			ring.New[dispatchMessage]("dispatch", 4), ring.New[deliveryMessage]("delivery", 4))
		sent := &sentMessages{}
		d.handover.links = sent
		d.handover.addPeer(peer)
		return d.handover, sent
	}
	offer := func(h *handover, sent *sentMessages, key string) uint64 {
		h.offer(&dispatch.HandOver{ID: request.ID{Customer: "c", Key: key}}, now)
		m, ok := sent.list[len(sent.list)-1].(*wire.HandOver)
		ExpectWithOffset(1, ok).To(BeTrue())
		return m.Correlation
	}

	// Guards against a caller being sent to a gateway that has not taken its request: the
	// reply there was to an offer of the process before, about another request.
	It("is not decided by a reply to an offer of a former process", func() {
		former, sent := start()
		earlier := offer(former, sent, "earlier")
		h, sent := start()
		later := offer(h, sent, "later")
		h.offerAnswered(handoverAnswered{from: peer, answer: &wire.HandOverAnswer{Correlation: earlier, Accepted: true}}, now)
		Expect(h.offers).To(HaveKey(later))
		h.offerAnswered(handoverAnswered{from: peer, answer: &wire.HandOverAnswer{Correlation: later, Accepted: true}}, now)
		Expect(h.offers).To(BeEmpty())
	})

	// Guards against a request that goes on at two gateways since a reply that came too
	// late is taken for that to a later offer.
	It("is not decided by a reply that comes after its time, or after the link has ended", func() {
		h, sent := start()
		first := offer(h, sent, "first")
		h.expireOffers(now.Add(offerTimeout))
		second := offer(h, sent, "second")
		h.offerAnswered(handoverAnswered{from: peer, answer: &wire.HandOverAnswer{Correlation: first, Accepted: true}}, now)
		Expect(h.offers).To(HaveKey(second))
		h.removePeer(peer, now)
		Expect(h.offers).To(BeEmpty())
		h.addPeer(peer)
		third := offer(h, sent, "third")
		h.offerAnswered(handoverAnswered{from: peer, answer: &wire.HandOverAnswer{Correlation: second, Accepted: true}}, now)
		Expect(h.offers).To(HaveKey(third))
	})
})
