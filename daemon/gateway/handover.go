package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// offerTimeout is how long another gateway may take to answer an offer.
const offerTimeout = 3 * time.Second

// handover is the part of the dispatch duty that gives requests to other
// gateways and takes theirs. The duty owns it.
type handover struct {
	links         sender // nil without links
	core          *dispatch.Core
	delivery      *ring.Ring[deliveryMessage]
	failureDomain string
	log           zerolog.Logger
	gateways      map[string]wire.Hello
	turn          int
	lastNumber    uint64
	offers        map[uint64]offered
	sources       map[uint64]offerSource
}

func (h *handover) up(peer wire.Hello) {
	if peer.Role == Role {
		h.gateways[peer.ID()] = peer
	}
}

// down also answers for the offers that the peer has not answered.
func (h *handover) down(peer wire.Hello, now clock.Instant) {
	delete(h.gateways, peer.ID())
	for number, o := range h.offers {
		if o.peer == peer.ID() {
			delete(h.offers, number)
			h.core.HandedOver(o.id, false, "", now)
		}
	}
}

// tick takes back the requests whose offers were not answered in time.
func (h *handover) tick(now clock.Instant) {
	for number, o := range h.offers {
		if !now.Before(o.until) {
			delete(h.offers, number)
			h.core.HandedOver(o.id, false, "", now)
		}
	}
}

// offer gives a request to another gateway.
func (h *handover) offer(a *dispatch.HandOver, now clock.Instant) {
	peer, ok := h.choose()
	if !ok {
		h.core.HandedOver(a.ID, false, "", now)
		return
	}
	state, err := cbor.Marshal(a.Handoff)
	if err != nil {
		h.core.HandedOver(a.ID, false, "", now)
		return
	}
	h.lastNumber++
	err = h.links.Send(peer.ID(), &wire.HandOver{Correlation: h.lastNumber, Attempt: state, Upstream: a.Handoff.Upstream})
	if err != nil {
		h.core.HandedOver(a.ID, false, "", now)
		return
	}
	h.offers[h.lastNumber] = offered{id: a.ID, peer: peer.ID(), until: now.Add(offerTimeout)}
	h.log.Info().Str("customer", a.ID.Customer).Str("key", a.ID.Key).Str("to", peer.ID()).
		Int("bytes", len(state)).Msg("request_offered")
}

// choose takes the linked gateways in turn, those of other failure domains
// first.
func (h *handover) choose() (wire.Hello, bool) {
	var far, near []wire.Hello
	for _, g := range h.gateways {
		if g.FailureDomain == h.failureDomain {
			near = append(near, g)
		} else {
			far = append(far, g)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 || h.links == nil {
		return wire.Hello{}, false
	}
	h.turn++
	return far[h.turn%len(far)], true
}

// answered takes another gateway's answer.
func (h *handover) answered(m handedOver, now clock.Instant) {
	o, ok := h.offers[m.answer.Correlation]
	if !ok || o.peer != m.from.ID() {
		return
	}
	delete(h.offers, m.answer.Correlation)
	h.core.HandedOver(o.id, m.answer.Taken, m.from.PublicAddress, now)
}

// take takes a request of another gateway, after room for its answer is
// reserved in delivery's ring.
func (h *handover) take(m takeOver, now clock.Instant) {
	var state dispatch.Handoff
	if err := cbor.Unmarshal(m.offer.Attempt, &state); err != nil {
		h.answer(m.from.ID(), m.offer.Correlation, false)
		return
	}
	if !h.reserve() {
		h.answer(m.from.ID(), m.offer.Correlation, false)
		return
	}
	h.lastNumber++
	h.sources[h.lastNumber] = offerSource{peer: m.from.ID(), correlation: m.offer.Correlation}
	h.core.TakeOver(h.lastNumber, state, now)
}

// reserve sets a slot aside for the beginning and one for the end of an answer.
func (h *handover) reserve() bool {
	for i := range slotsPerCaller {
		if h.delivery.Reserve() != nil {
			for range i {
				h.delivery.Release()
			}
			return false
		}
	}
	return true
}

// tookOver answers the gateway that offered a request.
func (h *handover) tookOver(a dispatch.TakeOverResult) {
	source := h.sources[a.Token]
	delete(h.sources, a.Token)
	switch {
	case a.Taken:
	case a.AnswerStarted:
		h.delivery.Release()
	default:
		h.delivery.Release()
		h.delivery.Release()
	}
	h.answer(source.peer, source.correlation, a.Taken)
}

func (h *handover) answer(peer string, correlation uint64, taken bool) {
	if h.links == nil {
		return
	}
	// An answer that is lost is as one that says no: the record decides.
	_ = h.links.Send(peer, &wire.HandOverAnswer{Correlation: correlation, Taken: taken})
}

func movedRefusal() *request.Refusal {
	return &request.Refusal{
		Outcome:    request.OutcomeUnknown,
		Reason:     request.Moved,
		Detail:     "another gateway goes on with the request: ask it by the key",
		RetryAfter: fullRetry,
	}
}
