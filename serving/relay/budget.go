package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// budgetParts is the number of parts into which the window is divided.
const budgetParts = 10

// budgetShare is the part of its budget that a gateway uses. The rest covers
// gateways that start again, and those that others do not know of yet.
const budgetShare = 0.6

// budget bounds the arrivals at a service beyond the first of each request,
// over all gateways: each one uses its part.
type budget struct {
	ratio   float64
	extra   int
	window  time.Duration
	parts   [budgetParts + 1]budgetPart
	current int64
}

// first notes a request that was sent for the first time.
func (b *budget) first(now clock.Instant) {
	b.part(now).firsts++
}

// take takes one further arrival from the part of one of so many gateways. It
// returns false when the part is used up.
func (b *budget) take(gateways int, now clock.Instant) bool {
	part := b.part(now)
	firsts, extras := 0, 0
	for i := range b.parts {
		firsts += b.parts[i].firsts
		extras += b.parts[i].extras
	}
	allowed := budgetShare * (b.ratio*float64(firsts) + float64(b.extra)/float64(max(gateways, 1)))
	if float64(extras+1) > allowed {
		return false
	}
	part.extras++
	return true
}

// part returns the part of the window for an instant, after the older ones were
// dropped.
func (b *budget) part(now clock.Instant) *budgetPart {
	number := int64(time.Duration(now) / max(b.window/budgetParts, 1))
	for b.current < number {
		b.current = max(b.current+1, number-int64(len(b.parts)))
		b.parts[b.current%int64(len(b.parts))] = budgetPart{}
	}
	return &b.parts[b.current%int64(len(b.parts))]
}
