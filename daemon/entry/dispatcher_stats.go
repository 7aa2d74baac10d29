package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// publishStats sends the statistics to the cluster duty if they are due.
func (d *dispatcher) publishStats(now clock.Instant) {
	if now.Sub(d.publishedAt) >= statsInterval || d.core.EvidenceIsUrgent() {
		d.sendStats(now)
	}
}

// end sends the last statistics, after the core has ended. Those that follow say so too, in
// case that the ring of the cluster duty is full.
func (d *dispatcher) end(now clock.Instant) {
	d.hasEnded = true
	d.sendStats(now)
}

// sendStats sends the statistics since the last time to the cluster duty. If its ring is
// full, the usage counts go with the next message.
func (d *dispatcher) sendStats(now clock.Instant) {
	d.publishedAt = now
	d.publishDraining()
	d.metrics.update(d.core, now)
	used, reserves := d.core.PublishUse(now)
	stats := requestStats{
		counts:    d.usageCounts,
		used:      used,
		reserves:  reserves,
		countedAt: now,
		spent:     d.core.SpentOfLimits(),
		rollouts:  d.core.RolloutStages(),

		rolloutEvidence: d.core.RolloutEvidence(),
		loads:           d.core.Loads(now),
		readRates:       d.core.ReadRates(),
		evidence:        d.core.Evidence(now),
		isUrgent:        d.core.EvidenceIsUrgent(),
		hasEnded:        d.hasEnded,
	}
	if d.cluster.Offer(stats) == nil {
		d.usageCounts = make(map[int64]usage.Counts)
	}
}
