package history

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/lease"
)

// calmDown ends all trouble, restores the table once more, and asks that the duties go on.
func (r *LeaseRun) calmDown() {
	r.isCalm = true
	r.table.Calm()
	for _, n := range r.nodes {
		n.Calm()
	}
	r.world.Run(longestTrouble)
	r.expectHolder()
	restores := DefaultRestores()
	r.table.Restore(r.world.Between(restores.Youngest, restores.Oldest))
	r.expectHolder()
}

// expectHolder asks that somebody holds the lease and all candidates know of it once
// there was no trouble for the time of a takeover, and still for as long afterwards.
func (r *LeaseRun) expectHolder() {
	for range 2 {
		r.world.Run(longestTakeover())
		r.duties.notIdle()
	}
	record, _ := lease.DecodeRecord(r.table.Row(lease.Key(duty)))
	r.duties.notStranded(record.Fence)
}

// longestTakeover returns the time in which a candidate sees the row, watches it for a
// TTL of its own clock, reads it, writes it and reads it back.
func longestTakeover() time.Duration {
	const calls = 4
	config := lease.DefaultConfig()
	return config.WatchEvery + config.TTL + config.Margin + calls*2*mostLatency
}
