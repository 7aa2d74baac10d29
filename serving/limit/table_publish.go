package limit

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Publish returns what this gateway is to publish: its use by customer, and what it may
// use beyond that.
func (t *Table) Publish(now clock.Instant) (map[string]Use, map[string]Reserve) {
	used, reserves := make(map[string]Use), make(map[string]Reserve)
	for name, l := range t.limiters {
		l.advance(now)
		if use := l.window.use(); l.window.sum > 0 {
			used[name] = use
		}
		// What is announced while this gateway is cut off may reach nobody, so that the
		// former announcements still count.
		if t.isCurrent(now) {
			l.announce(now)
		}
		if r := l.reserve(now); r.Pace > 0 {
			reserves[name] = r
		}
	}
	return used, reserves
}

// Spent returns the totals of what this process has used of the limits that it holds.
func (t *Table) Spent() map[string]float64 {
	out := make(map[string]float64)
	for name, l := range t.limiters {
		if l.isHolder {
			out[name] = l.spent
		}
	}
	return out
}

// Stored records that the store has a record of this gateway with the given reserves, as
// of the given totals of Spent. No more is used than it reserves for a restart until it
// has a newer one, or for as long as a restart relies on it.
func (t *Table) Stored(spent map[string]float64, reserves map[string]Reserve, countedAt clock.Instant) {
	for name, l := range t.limiters {
		l.restart = restartBound{}
		if r, ok := reserves[name]; ok {
			l.restart = restartBound{reserve: r.Restart, spent: spent[name], countedAt: countedAt}
		}
	}
}

// Partners returns the other holders of the limits that this gateway holds and that are
// in use, which should hear of its use soon.
func (t *Table) Partners() []Holder {
	var list []Holder
	for _, l := range t.limiters {
		if !l.isHolder || l.window.sum <= 0 {
			continue
		}
		for _, h := range l.holders {
			if !slices.Contains(list, h) {
				list = append(list, h)
			}
		}
	}
	return list
}

// Tell returns what this gateway tells other holders: its use of the limits that it
// holds, as Publish.
func (t *Table) Tell(now clock.Instant) (map[string]Use, map[string]Reserve) {
	used, reserves := t.Publish(now)
	for name := range used {
		if _, ok := reserves[name]; !ok {
			delete(used, name)
		}
	}
	return used, reserves
}

// Hear takes over what another holder has told, unless it has told what it counted later.
func (t *Table) Hear(instance string, used map[string]Use, reserves map[string]Reserve, countedAt, now clock.Instant) {
	if known, ok := t.heard[instance]; ok && countedAt.Before(known.CountedAt) {
		return
	}
	t.heard[instance] = Peer{Used: used, Reserves: reserves, CountedAt: min(countedAt, now)}
	for name := range reserves {
		if l := t.limiters[name]; l != nil && l.isHolder {
			t.divideOne(l, now)
		}
	}
}
