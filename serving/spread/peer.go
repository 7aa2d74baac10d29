package spread

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// peer is a process that this node has a link to.
type peer struct {
	id string
	// lastMessageAt is when the last message arrived, or when the link came up.
	lastMessageAt clock.Instant
	// hasHeartbeat is true after the first heartbeat.
	hasHeartbeat bool
	// lastHeartbeat is the newest heartbeat of the peer. Its Fleet is raised
	// when another message shows that the peer has a newer view.
	lastHeartbeat Heartbeat
	// memberMismatches and reportMismatches count consecutive heartbeats that
	// differed from the state of this node.
	memberMismatches int
	reportMismatches int
	// knownHolders are the holders of knownVersion that the peer has named or
	// was told of.
	knownHolders map[uint64]bool
	knownVersion uint64
}

// addKnownHolders records that the peer knows holders of a version. It drops
// those of any other version.
func (p *peer) addKnownHolders(version uint64, holders []uint64) {
	if version != p.knownVersion {
		p.knownVersion = version
		p.knownHolders = make(map[uint64]bool)
	}
	for _, h := range holders {
		p.knownHolders[h] = true
	}
}

// mayLack reports whether the peer may not know some of the holders.
func (p *peer) mayLack(holders []uint64) bool {
	for _, h := range holders {
		if !p.knownHolders[h] {
			return true
		}
	}
	return false
}
