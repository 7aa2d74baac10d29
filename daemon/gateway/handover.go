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

// offerTimeout is how long another gateway may take to reply to an offer.
const offerTimeout = 3 * time.Second

// handover is the part of the dispatch duty that hands requests over to other
// gateways and takes theirs over.
type handover struct {
	links         sender // nil without links
	core          *dispatch.Core
	delivery      *ring.Ring[deliveryMessage]
	failureDomain string
	log           zerolog.Logger
	gateways      map[string]wire.Hello
	rotation      int // counts the gateways chosen, for round robin
	// lastNumber is the last number given to an offer made (its correlation) or
	// to an offer received (its token in the core). The numbers of each process begin
	// elsewhere: a reply to an offer of a former one may come to the next.
	lastNumber uint64
	offers     map[uint64]pendingOffer
	sources    map[uint64]offerSource
}

func (h *handover) addPeer(peer wire.Hello) {
	if peer.Role == Role {
		h.gateways[peer.ID()] = peer
	}
}

// removePeer also takes back the requests that were offered to the peer and
// not replied to.
func (h *handover) removePeer(peer wire.Hello, now clock.Instant) {
	delete(h.gateways, peer.ID())
	for number, o := range h.offers {
		if o.peer == peer.ID() {
			delete(h.offers, number)
			h.core.HandedOver(o.id, false, "", now)
		}
	}
}

// expireOffers takes back the requests whose offers were not replied to in
// time.
func (h *handover) expireOffers(now clock.Instant) {
	for number, o := range h.offers {
		if !now.Before(o.deadline) {
			delete(h.offers, number)
			h.core.HandedOver(o.id, false, "", now)
		}
	}
}

// offer offers a request to another gateway.
func (h *handover) offer(a *dispatch.HandOver, now clock.Instant) {
	peer, ok := h.choosePeer()
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
	h.offers[h.lastNumber] = pendingOffer{id: a.ID, peer: peer.ID(), deadline: now.Add(offerTimeout)}
	h.log.Info().Str("customer", a.ID.Customer).Str("key", a.ID.Key).Str("to", peer.ID()).
		Int("bytes", len(state)).Msg("request_offered")
}

// choosePeer chooses among the linked gateways in turn, and prefers those in
// other failure domains.
func (h *handover) choosePeer() (wire.Hello, bool) {
	var candidates, sameDomain []wire.Hello
	for _, g := range h.gateways {
		if g.FailureDomain == h.failureDomain {
			sameDomain = append(sameDomain, g)
		} else {
			candidates = append(candidates, g)
		}
	}
	if len(candidates) == 0 {
		candidates = sameDomain
	}
	if len(candidates) == 0 || h.links == nil {
		return wire.Hello{}, false
	}
	h.rotation++
	return candidates[h.rotation%len(candidates)], true
}

// offerAnswered passes the reply of another gateway to the core.
func (h *handover) offerAnswered(m handoverAnswered, now clock.Instant) {
	o, ok := h.offers[m.answer.Correlation]
	if !ok || o.peer != m.from.ID() {
		return
	}
	delete(h.offers, m.answer.Correlation)
	h.core.HandedOver(o.id, m.answer.Accepted, m.from.PublicAddress, now)
}

// takeOver starts to take a request over from another gateway. It first
// reserves the slots of its answer in the delivery ring.
func (h *handover) takeOver(m handoverOffered, now clock.Instant) {
	var state dispatch.Handoff
	if err := cbor.Unmarshal(m.offer.Attempt, &state); err != nil {
		h.sendAnswer(m.from.ID(), m.offer.Correlation, false)
		return
	}
	if !h.reserveSlots() {
		h.sendAnswer(m.from.ID(), m.offer.Correlation, false)
		return
	}
	h.lastNumber++
	h.sources[h.lastNumber] = offerSource{peer: m.from.ID(), correlation: m.offer.Correlation}
	h.core.TakeOver(h.lastNumber, state, now)
}

// reserveSlots reserves a slot for the start and one for the end of an answer.
func (h *handover) reserveSlots() bool {
	for i := range reservedSlotsPerCaller {
		if h.delivery.Reserve() != nil {
			for range i {
				h.delivery.Release()
			}
			return false
		}
	}
	return true
}

// takeOverDone releases the slots that are not needed and replies to the
// gateway that offered the request.
func (h *handover) takeOverDone(a dispatch.TakeOverResult) {
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
	h.sendAnswer(source.peer, source.correlation, a.Taken)
}

func (h *handover) sendAnswer(peer string, correlation uint64, taken bool) {
	if h.links == nil {
		return
	}
	// A lost reply counts as a refusal. If both gateways then continue, the
	// record of the request decides which one may.
	_ = h.links.Send(peer, &wire.HandOverAnswer{Correlation: correlation, Accepted: taken})
}

func movedRefusal() *request.Refusal {
	return &request.Refusal{
		Outcome:    request.OutcomeUnknown,
		Reason:     request.Moved,
		Detail:     "another gateway goes on with the request: ask it by the key",
		RetryAfter: defaultRetryAfter,
	}
}
