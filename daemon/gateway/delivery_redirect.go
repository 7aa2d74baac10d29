package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

func (d *delivery) startAnswer(m startAnswer) {
	b := &bufferedAnswer{id: m.id, callers: make(map[dispatch.CallerHandle]*callerState)}
	d.appendPieces(b, m.pieces)
	d.answers[m.id] = b
}

func (d *delivery) restoreAnswer(m restoreAnswer) {
	b := &bufferedAnswer{id: m.id, callers: make(map[dispatch.CallerHandle]*callerState), summary: &m.summary}
	d.appendPieces(b, m.pieces)
	d.answers[m.id] = b
}

// redirect sends the callers of a request to the gateway that has taken it
// over, and deletes the answer.
func (d *delivery) redirect(m redirectCallers) {
	b := d.answers[m.id]
	if b == nil {
		return
	}
	delete(d.answers, m.id)
	list := d.addressEntry(m.address)
	for _, c := range b.callers {
		delete(d.callers, c.handle)
		delete(d.exchanges, c.exchange)
		if !c.streamed {
			_ = caller.ReplyProblem(c.exchange, movedRefusal(), list)
			continue
		}
		// A caller that has disconnected can resume with its idempotency key.
		_ = c.sendPieces(b)
		_ = c.sendEvent(caller.Moved, caller.MovedEvent{Key: m.id.Key, Next: c.nextPiece, Addresses: list})
		_ = c.exchange.EndStream()
	}
}

// addressEntry returns the entry of a gateway in the list of addresses, or
// makes one if the gateway is not listed.
func (d *delivery) addressEntry(address string) []caller.Address {
	for _, g := range d.gateways {
		if g.Address.Address == address {
			return []caller.Address{g.Address}
		}
	}
	return []caller.Address{{Address: address, Weight: addressWeight}}
}

// alternatives returns the gateways that a refused caller should try: the one
// that has the request, if the refusal names it; all of them if this gateway
// is draining; else none.
func (d *delivery) alternatives(r *request.Refusal) []caller.Address {
	for _, g := range d.gateways {
		if r.Gateway != "" && g.Instance == r.Gateway {
			return []caller.Address{g.Address}
		}
	}
	if r.Reason != request.Draining {
		return nil
	}
	return callerAddresses(d.gateways)
}

func callerAddresses(gateways []NamedAddress) []caller.Address {
	list := make([]caller.Address, 0, len(gateways))
	for _, g := range gateways {
		list = append(list, g.Address)
	}
	return list
}
