package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// publishStats sends the statistics since the last time to the cluster duty. If
// its ring is full, the usage counts go with the next message.
func (d *dispatcher) publishStats(now clock.Instant) {
	isUrgent := d.core.EvidenceIsUrgent()
	if now.Sub(d.publishedAt) < statsInterval && !isUrgent {
		return
	}
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
		isUrgent:        isUrgent,
	}
	if d.cluster.Offer(stats) == nil {
		d.usageCounts = make(map[int64]usage.Counts)
	}
}
