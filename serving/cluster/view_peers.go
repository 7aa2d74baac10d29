package cluster

import (
	"sort"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Peers returns the state of all gateways that have a record, ordered by name.
func (v *View) Peers(now clock.Instant) []PeerState {
	share := 1 / float64(v.shareHolders())
	list := make([]PeerState, 0, len(v.peers))
	for _, p := range v.peers {
		list = append(list, PeerState{
			Instance:        p.record.Instance,
			Incarnation:     p.record.Incarnation,
			Ready:           p.record.Ready,
			Live:            v.isLive(p),
			Ended:           p.record.Ended,
			SilentMillis:    now.Sub(p.changedAt).Milliseconds(),
			Share:           v.limitPeer(p, share).Share,
			ReducedInMillis: max(p.changedAt.Add(2*v.shareTimeout).Sub(v.lastRead), 0).Milliseconds(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}
