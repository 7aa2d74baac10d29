package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// Apply passes an update to the duties. It must be called from one thread,
// after Open. If it fails with a *ring.FullError or *ring.ClosedError, some
// duties may already have the update: the caller must apply it again, merged
// with any newer changes.
func (g *Gateway) Apply(u Update) error {
	if u.Configuration != nil {
		if err := g.admission.inbox.Offer(admissionMessage{configuration: u.Configuration}); err != nil {
			return err
		}
	}
	if u.Gateways != nil {
		if err := g.admission.inbox.Offer(admissionMessage{addresses: callerAddresses(u.Gateways)}); err != nil {
			return err
		}
		if err := g.delivery.inbox.Offer(setAddresses{gateways: u.Gateways}); err != nil {
			return err
		}
	}
	g.watchOwnInstance(u.Upserts)
	return g.dispatch.inbox.Offer(fleetUpdate{
		configuration: u.Configuration,
		upserts:       u.Upserts,
		removed:       u.Removed,
		gateways:      len(u.Gateways),
	})
}

// watchOwnInstance starts a graceful shutdown when the instance that this
// gateway runs on is being reclaimed.
func (g *Gateway) watchOwnInstance(upserts []fleet.Instance) {
	for _, instance := range upserts {
		if instance.ID != g.settings.Instance || instance.State != fleet.Leaving {
			continue
		}
		limit := g.settings.DrainTimeout
		if left, known := timeLeft(instance); known {
			limit = min(limit, left)
		}
		// If the ring is full, a stop is already queued, and a further reclaim
		// notice has no effect.
		_ = g.drain.inbox.Offer(drainMessage{limit: limit, isReclaim: true})
	}
}
