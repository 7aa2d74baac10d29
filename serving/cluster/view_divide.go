package cluster

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

const (
	// maxReadInterval is the usual time between two reads of the records.
	maxReadInterval = time.Second
	// currentFraction is the fraction of the live timeout for which the use and demand
	// of the other gateways are current after a read. It exceeds the time between two
	// reads.
	currentFraction = 0.7
	// staleFraction is the fraction of the share timeout after which a view without
	// a successful read is stale.
	staleFraction = 0.75
	// staleShareFactor is the fraction of its part that a gateway with a stale view
	// keeps.
	staleShareFactor = 0.35
)

// Divide returns a gateway's part of limits and budgets. A stale view reduces the
// part, since the others may have taken it over, but not to zero: usually the
// store is unavailable to all gateways, and they keep the former division.
func (v *View) Divide(self string, now clock.Instant) Division {
	d := Division{Stale: v.IsStale(now), Gateways: v.shareHolders()}
	equal := 1 / float64(d.Gateways)
	d.Share = (1 - v.droppedShares()) * equal
	// A gateway that has not published anything yet will be ready with its first record.
	d.Limits = limit.Division{Instance: self, IsReady: v.peers[self] == nil, Share: v.ownShare(d.Share), Spread: v.spread}
	d.Limits.CurrentFor = max(time.Duration(currentFraction*float64(v.liveTimeout)), d.Limits.Spread+maxReadInterval)
	d.Limits.CurrentUntil = v.lastRead.Add(d.Limits.CurrentFor)
	if d.Stale {
		d.Limits.Share *= staleShareFactor
		d.Gateways = int(float64(d.Gateways) / staleShareFactor)
	}
	for name, p := range v.peers {
		if name == self {
			d.Limits.IsReady = p.record.Ready
			continue
		}
		d.Limits.Peers = append(d.Limits.Peers, v.limitPeer(p, equal))
	}
	return d
}

// shareHolders returns the number of gateways among which limits and budgets are divided,
// at least 1.
func (v *View) shareHolders() int {
	n := 0
	for _, p := range v.peers {
		if v.holdsShare(p) {
			n++
		}
	}
	return max(n, 1)
}

// SharePublished records that the store has a record of this gateway with the given Share.
func (v *View) SharePublished(share float64) {
	v.published = share
}

// ownShare returns the part of each limit that this gateway uses while it does not know
// what the others use, given that of an equal division. It does not grow before the others
// can know: they hold back what this gateway has published.
func (v *View) ownShare(share float64) float64 {
	if v.published > 0 {
		return min(share, v.published)
	}
	return share
}

// droppedShares returns the sum of the shares that gateways go on by which are no longer in
// the division, at most 1, as far as they have published them.
func (v *View) droppedShares() float64 {
	sum := 0.0
	for _, p := range v.peers {
		if !v.holdsShare(p) && p.record.Share > 0 {
			sum += v.limitPeer(p, 0).Share
		}
	}
	return min(sum, 1)
}

// limitPeer returns what is known of the use of limits by another gateway, given the share
// that an equal division gives each. A gateway that the others have dropped from the
// division may still be serving with a reduced share, and have used its whole one before.
// That is the share of a division with it: the one that it has published.
func (v *View) limitPeer(p *peer, share float64) limit.Peer {
	if p.record.Share > 0 && p.record.Share <= 1 {
		share = p.record.Share
	}
	if p.record.Ended {
		share = 0
	}
	if v.lastRead.Sub(p.changedAt) >= 2*v.shareTimeout {
		share *= staleShareFactor
	}
	return limit.Peer{
		Holder:    limit.Holder{Instance: p.record.Instance, Address: p.record.PeerAddress},
		IsReady:   p.record.Ready && v.isLive(p),
		Used:      p.record.Used,
		Reserves:  p.record.Reserves,
		CountedAt: p.countedAt,
		Share:     share,
		Ended:     p.record.Ended,
	}
}

// IsStale reports whether the records were last read so long ago that the others
// may have taken over this gateway's part of limits and budgets.
func (v *View) IsStale(now clock.Instant) bool {
	return now.Sub(v.lastRead) >= time.Duration(staleFraction*float64(v.shareTimeout))
}
