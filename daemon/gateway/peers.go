package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// peers offers news of links and requests of other gateways to dispatch. It
// implements link.Handler.
type peers struct {
	inbox *ring.Ring[dispatchMessage]
}

// Up implements link.Handler.
func (p *peers) Up(peer wire.Hello) {
	_ = p.inbox.Offer(peerUp{peer: peer})
}

// Receive implements link.Handler. What finds no room is not answered, and the
// other gateway goes on by itself.
func (p *peers) Receive(from wire.Hello, m wire.Message) {
	switch m := m.(type) {
	case *wire.HandOver:
		_ = p.inbox.Offer(takeOver{from: from, offer: m})
	case *wire.HandOverAnswer:
		_ = p.inbox.Offer(handedOver{from: from, answer: m})
	}
}

// Down implements link.Handler.
func (p *peers) Down(peer wire.Hello, _ error) {
	_ = p.inbox.Offer(peerDown{peer: peer})
}
