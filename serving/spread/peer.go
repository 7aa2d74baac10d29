package spread

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// peer is a process that this node has a link to.
type peer struct {
	id string
	// heardAt is when the last message came.
	heardAt clock.Instant
	// isSynced is true after the first heartbeat.
	isSynced bool
	// last is the last heartbeat.
	last Heartbeat
	// memberMismatches and reportMismatches count heartbeats in succession that
	// differed from what this node holds.
	memberMismatches int
	reportMismatches int
	// known are the holders of knownVersion that the peer is known to know of.
	known        map[uint64]bool
	knownVersion uint64
}

// knows notes that the peer knows of holders of a version.
func (p *peer) knows(version uint64, holders []uint64) {
	if version != p.knownVersion {
		p.knownVersion = version
		p.known = make(map[uint64]bool)
	}
	for _, h := range holders {
		p.known[h] = true
	}
}

// lacks reports whether the peer is not known to know of all of the holders.
func (p *peer) lacks(holders []uint64) bool {
	for _, h := range holders {
		if !p.known[h] {
			return true
		}
	}
	return false
}
