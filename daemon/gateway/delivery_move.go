package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

func (d *delivery) adopt(m adoptAnswer) {
	k := &kept{id: m.id, callers: make(map[dispatch.CallerHandle]*attached)}
	d.add(k, m.pieces)
	d.answers[m.id] = k
}

func (d *delivery) recall(m recallAnswer) {
	k := &kept{id: m.id, callers: make(map[dispatch.CallerHandle]*attached), summary: &m.summary}
	d.add(k, m.pieces)
	d.answers[m.id] = k
}

// move ends the answers to the callers of a request that another gateway goes
// on with.
func (d *delivery) move(m moveAnswer) {
	k := d.answers[m.id]
	if k == nil {
		return
	}
	delete(d.answers, m.id)
	list := d.named(m.address)
	for _, a := range k.callers {
		delete(d.callers, a.handle)
		delete(d.exchanges, a.exchange)
		if !a.streamed {
			_ = caller.ReplyProblem(a.exchange, movedRefusal(), list)
			continue
		}
		// A caller that is gone asks again by the key.
		_ = a.pieces(k)
		_ = a.event(caller.Moved, caller.MovedEvent{Key: m.id.Key, Next: a.next, Addresses: list})
		_ = a.exchange.EndStream()
	}
}

func (d *delivery) named(address string) []caller.Address {
	for _, g := range d.gateways {
		if g.Address.Address == address {
			return []caller.Address{g.Address}
		}
	}
	return []caller.Address{{Address: address, Weight: addressWeight}}
}

// others are the addresses that go with a refusal: that of the gateway which
// has the request, or all.
func (d *delivery) others(r *request.Refusal) []caller.Address {
	for _, g := range d.gateways {
		if r.Gateway != "" && g.Instance == r.Gateway {
			return []caller.Address{g.Address}
		}
	}
	if r.Reason != request.Draining {
		return nil
	}
	return plainAddresses(d.gateways)
}

func plainAddresses(gateways []NamedAddress) []caller.Address {
	list := make([]caller.Address, 0, len(gateways))
	for _, g := range gateways {
		list = append(list, g.Address)
	}
	return list
}
