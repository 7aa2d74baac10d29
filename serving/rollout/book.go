package rollout

import (
	"maps"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Book holds the orders in force, as read from a store that may be restored from an older
// copy. One thread owns it.
type Book struct {
	timeline uint64
	// orders are those of the table. kept are those that were in force in the former
	// timeline and are not there yet; they stay in force until keptUntil.
	orders, kept map[string]Order
	keptUntil    clock.Instant
}

// NewBook returns a Book without orders.
func NewBook() *Book {
	return &Book{orders: make(map[string]Order), kept: make(map[string]Order)}
}

// Apply takes over a reading, which must follow those before it without a gap: the first
// of a timeline is a list. It returns whether the orders in force have changed.
func (b *Book) Apply(r Reading, now clock.Instant) bool {
	before := b.Orders()
	if r.Timeline > b.timeline {
		b.kept, b.keptUntil = before, now.Add(RestoreGrace)
	}
	b.timeline = r.Timeline
	if r.IsList {
		b.orders = make(map[string]Order)
	}
	for _, service := range r.Removed {
		delete(b.orders, service)
		delete(b.kept, service)
	}
	for _, service := range r.Invalid {
		// An earlier order stays in force.
		if known, ok := before[service]; ok {
			b.orders[service] = known
		}
	}
	for _, o := range r.Orders {
		b.orders[o.Service] = o
		if !b.kept[o.Service].outdates(o) {
			delete(b.kept, o.Service)
		}
	}
	return !maps.Equal(before, b.Orders())
}

// Expire gives up the orders of the former timeline whose time is over. It returns whether
// the orders in force have changed.
func (b *Book) Expire(now clock.Instant) bool {
	if len(b.kept) == 0 || now.Before(b.keptUntil) {
		return false
	}
	clear(b.kept)
	return true
}

// NextExpiry returns when Expire is due.
func (b *Book) NextExpiry() (clock.Instant, bool) {
	return b.keptUntil, len(b.kept) > 0
}

// Orders returns the orders in force, by service.
func (b *Book) Orders() map[string]Order {
	orders := maps.Clone(b.orders)
	maps.Copy(orders, b.kept)
	return orders
}
