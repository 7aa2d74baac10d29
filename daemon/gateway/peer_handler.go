package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// peerHandler offers link events and hand-over messages of other gateways to
// dispatch. It implements link.Handler.
type peerHandler struct {
	inbox *ring.Ring[dispatchMessage]
}

// Up implements link.Handler.
func (p *peerHandler) Up(peer wire.Hello) {
	_ = p.inbox.Offer(peerUp{peer: peer})
}

// Receive implements link.Handler. A message that finds the ring full is
// dropped; the offering gateway then keeps its request.
func (p *peerHandler) Receive(from wire.Hello, m wire.Message) {
	switch m := m.(type) {
	case *wire.HandOver:
		_ = p.inbox.Offer(handoverOffered{from: from, offer: m})
	case *wire.HandOverAnswer:
		_ = p.inbox.Offer(handoverAnswered{from: from, answer: m})
	}
}

// Down implements link.Handler.
func (p *peerHandler) Down(peer wire.Hello, _ error) {
	_ = p.inbox.Offer(peerDown{peer: peer})
}
