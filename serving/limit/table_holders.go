package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// newest returns the newer of what a peer has published and what it has told directly of
// one limit. What it has told after its end is that of its next process.
func (t *Table) newest(p Peer, customer string) Peer {
	h, ok := t.heard[p.Instance]
	if _, isTold := h.Reserves[customer]; !ok || !isTold || !h.CountedAt.After(p.CountedAt) {
		return p
	}
	p.Used, p.Reserves, p.CountedAt, p.Ended = h.Used, h.Reserves, h.CountedAt, false
	return p
}

// chooseHolders finds the holders of a limit by rendezvous hashing over the ready
// gateways, so that gateways that know the same records choose the same.
func (t *Table) chooseHolders(l *limiter) {
	type candidate struct {
		holder Holder
		score  uint64
		isSelf bool
	}
	var list []candidate
	if t.division.IsReady {
		list = append(list, candidate{score: xxhash.Sum64String(l.name + "@" + t.division.Instance), isSelf: true})
	}
	for _, p := range t.division.Peers {
		if p.IsReady && p.Address != "" {
			list = append(list, candidate{holder: p.Holder, score: xxhash.Sum64String(l.name + "@" + p.Instance)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	list = list[:l.terms.holdersOf(len(list))]
	l.holders, l.isHolder = l.holders[:0], false
	for _, c := range list {
		if c.isSelf {
			l.isHolder = true
		} else {
			l.holders = append(l.holders, c.holder)
		}
	}
}

// nextHolder returns a holder that was not asked yet.
func (t *Table) nextHolder(l *limiter, hash uint64, asked []string, now clock.Instant) (Holder, bool) {
	for i := range l.holders {
		h := l.holders[(hash+uint64(i))%uint64(len(l.holders))]
		if !slices.Contains(asked, h.Instance) && !now.Before(t.failedUntil[h.Instance]) {
			return h, true
		}
	}
	return Holder{}, false
}
