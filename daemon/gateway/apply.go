package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// Apply hands news to the duties. It may be called by one thread, after Open.
// When it fails with a *ring.FullError or *ring.ClosedError some duties may
// have the news; the caller gives it again, together with what is newer.
func (g *Gateway) Apply(u Update) error {
	if u.Configuration != nil {
		if err := g.admission.inbox.Offer(admissionMessage{configuration: u.Configuration}); err != nil {
			return err
		}
	}
	if u.Gateways != nil {
		if err := g.admission.inbox.Offer(admissionMessage{addresses: plainAddresses(u.Gateways)}); err != nil {
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

// watchOwnInstance begins a graceful shutdown when the instance of this gateway
// is reclaimed.
func (g *Gateway) watchOwnInstance(upserts []fleet.Instance) {
	for _, instance := range upserts {
		if instance.ID != g.settings.Instance || instance.State != fleet.Leaving {
			continue
		}
		limit := g.settings.DrainTimeout
		if left, known := timeLeft(instance); known {
			limit = min(limit, left)
		}
		// A second notice changes nothing, so a full ring does no harm.
		_ = g.drain.inbox.Offer(drainMessage{limit: limit, isReclaim: true})
	}
}
