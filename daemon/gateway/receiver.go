package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// receiver offers the answer of one attempt to dispatch. A slot is reserved
// for the last message. It implements engine.Receiver.
type receiver struct {
	ref   dispatch.StreamRef
	inbox *ring.Ring[dispatchMessage]
}

// Tokens implements engine.Receiver.
func (r *receiver) Tokens(t engine.Tokens) bool {
	return r.inbox.Offer(tokensReceived{ref: r.ref, tokens: t}) == nil
}

// Completed implements engine.Receiver.
func (r *receiver) Completed(rest engine.Tokens, usage dispatch.Usage) {
	_ = r.inbox.OfferReserved(attemptCompleted{ref: r.ref, rest: rest, usage: usage})
}

// Replied implements engine.Receiver.
func (r *receiver) Replied(reply *request.ServiceReply) {
	_ = r.inbox.OfferReserved(serviceReplied{ref: r.ref, reply: reply})
}

// Failed implements engine.Receiver.
func (r *receiver) Failed(rest engine.Tokens, failure dispatch.Failure) {
	_ = r.inbox.OfferReserved(attemptFailed{ref: r.ref, rest: rest, failure: failure})
}
