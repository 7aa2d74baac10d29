package cluster

import (
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// View is what one gateway knows of all gateways. One thread owns it.
type View struct {
	silence time.Duration
	hold    time.Duration
	peers   map[string]*peer
	read    clock.Instant
	// returned is set by a read after a time in which the others may have taken
	// this gateway's part over.
	returned bool
}

// NewView makes an empty view. A gateway whose row did not change for the first
// time is left out of the lists of live ones; for the second, longer one it keeps
// its part of what is divided, since it may serve on while it can't reach the
// store.
func NewView(silence, hold time.Duration) *View {
	return &View{silence: silence, hold: hold, peers: make(map[string]*peer)}
}

// SetSilence replaces the times of NewView.
func (v *View) SetSilence(silence, hold time.Duration) {
	v.silence, v.hold = silence, hold
}

// Read takes all rows as read at an instant.
func (v *View) Read(cards []Card, now clock.Instant) {
	former := v.read
	// Time in which no read succeeded is not held against anybody.
	if gap := now.Sub(v.read); v.read != 0 && gap >= v.silence {
		for _, p := range v.peers {
			p.changed, p.written = p.changed.Add(gap), p.written.Add(gap)
		}
		former = now
	}
	v.returned = v.read != 0 && v.IsStale(now)
	v.read = now
	// After an outage all rows are old, which says nothing of their gateways.
	isInUse := false
	for _, card := range cards {
		isInUse = isInUse || card.Age < v.silence/2
	}
	seen := make(map[string]bool, len(cards))
	for _, card := range cards {
		seen[card.Instance] = true
		p := v.peers[card.Instance]
		isNew := p == nil
		if isNew {
			p = &peer{changed: now, seen: now, written: now}
			if isInUse {
				p.written = now.Add(-card.Age)
			}
			v.peers[card.Instance] = p
		}
		p.former, p.card = p.card, card
		if !isNew && (p.former.Sequence != card.Sequence || p.former.Incarnation != card.Incarnation) {
			p.changed, p.seen = now, now
			// It was written since the read before.
			p.written = max(now.Add(-card.Age), former)
		}
	}
	for name := range v.peers {
		if !seen[name] {
			delete(v.peers, name)
		}
	}
}

// Live returns the gateways that write their rows, ordered by name.
func (v *View) Live() []Card {
	return v.list(func(p *peer) bool { return v.read.Sub(p.written) < v.silence })
}

// Holders returns the gateways that keep a part of what is divided.
func (v *View) Holders() []Card {
	return v.list(func(p *peer) bool { return v.read.Sub(p.changed) < v.hold })
}

// list returns the rows of some gateways, ordered by name.
func (v *View) list(has func(*peer) bool) []Card {
	var list []Card
	for _, p := range v.peers {
		if has(p) {
			list = append(list, p.card)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// Ready returns the gateways that take requests, ordered by name.
func (v *View) Ready() []Card {
	var list []Card
	for _, card := range v.Live() {
		if card.Ready {
			list = append(list, card)
		}
	}
	return list
}

// Silent returns the names of gateways whose rows have not changed for the given
// time.
func (v *View) Silent(since time.Duration) []string {
	var names []string
	for name, p := range v.peers {
		if v.read.Sub(p.changed) >= since {
			names = append(names, name)
		}
	}
	return names
}

// Card returns the row of a gateway.
func (v *View) Card(instance string) (Card, bool) {
	p := v.peers[instance]
	if p == nil {
		return Card{}, false
	}
	return p.card, true
}

// Count sums what all gateways, dead ones included, have counted in a window.
func (v *View) Count(window int64) map[string]uint64 {
	sum := make(map[string]uint64)
	for _, p := range v.peers {
		for customer, n := range p.card.Windows[window] {
			sum[customer] += n
		}
	}
	return sum
}

// Told is the instant up to which all gateways, silent ones included, are known
// to have told what they counted: when the row that has not changed for the
// longest time was seen to change. Each was written by then.
func (v *View) Told() clock.Instant {
	told := v.read
	for _, p := range v.peers {
		told = min(told, p.seen)
	}
	return told
}

// IsCandidate reports whether a gateway is one of the given number that watch the
// lease of singleton duties: the first live ones by name, so that the calls for
// it do not grow with the gateways. While no others are known it is one.
func (v *View) IsCandidate(instance string, candidates int) bool {
	ready := v.Ready()
	for i, card := range ready {
		if card.Instance == instance {
			return i < candidates
		}
	}
	return len(ready) < candidates
}

// Load sums what the live gateways ask of a service.
func (v *View) Load(service string) scale.Load {
	var sum scale.Load
	for _, card := range v.Live() {
		sum.Add(card.Loads[service])
	}
	return sum
}

// Offset is the median of the live gateways' times of day less the store's
// clock, so that a few wrong clocks do not matter. It reports false if there is
// none.
func (v *View) Offset() (time.Duration, bool) {
	var offsets []time.Duration
	for _, card := range v.Live() {
		if card.Offset != 0 {
			offsets = append(offsets, card.Offset)
		}
	}
	if len(offsets) == 0 {
		return 0, false
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	return offsets[(len(offsets)-1)/2], true
}

// Shares divides the customers' limits: the part of one gateway grows with what
// was asked of it lately. Gateways that were asked for nothing keep a part for
// what may come. The own demand counts as it was one heartbeat before, since that
// of the others is as old: else the parts would exceed the whole while demand
// rises.
func (v *View) Shares(self string) map[string]float64 {
	holders := v.Holders()
	totals := make(map[string]float64)
	own := make(map[string]float64)
	for _, card := range holders {
		for customer, demand := range card.Demand {
			if card.Instance == self {
				demand = min(demand, v.peers[self].former.Demand[customer])
				own[customer] = demand
			}
			totals[customer] += demand
		}
	}
	shares := make(map[string]float64, len(totals))
	even := 1 / float64(max(len(holders), 1))
	for customer, total := range totals {
		if total <= 0 {
			continue
		}
		shares[customer] = evenPart*even + (1-evenPart)*own[customer]/total
	}
	return shares
}

// Divide divides limits and budgets for one gateway. Once the others may have
// taken its part over, since it has read nothing for so long, it keeps a small
// piece of that part: most of the time the store is away from all of them, and
// they divide as before.
func (v *View) Divide(self string, now clock.Instant) Division {
	d := Division{
		Gateways: max(len(v.Holders()), 1), Shares: v.Shares(self), Demand: v.demand(),
		Stale: v.IsStale(now), Returned: v.returned,
	}
	if d.Stale {
		for customer := range d.Shares {
			d.Shares[customer] *= staleShare
		}
		d.Gateways = int(float64(d.Gateways) / staleShare)
	}
	return d
}

// demand is what customers ask of all gateways.
func (v *View) demand() map[string]float64 {
	sum := make(map[string]float64)
	for _, card := range v.Holders() {
		for customer, demand := range card.Demand {
			sum[customer] += demand
		}
	}
	return sum
}

// IsStale reports whether the rows were last read so long ago that the others may
// have taken over this gateway's part of what is divided.
func (v *View) IsStale(now clock.Instant) bool {
	return now.Sub(v.read) >= time.Duration(staleAfter*float64(v.hold))
}

const (
	// evenPart is the part of a limit that is divided evenly.
	evenPart = 0.4
	// staleAfter is the part of the holding time after which a gateway that reads
	// no rows gives most of its part up.
	staleAfter = 0.75
	// staleShare is what it keeps of it.
	staleShare = 0.35
)
