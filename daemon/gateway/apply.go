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
		if err := g.admission.inbox.Offer(admissionMessage{addresses: u.Gateways}); err != nil {
			return err
		}
		if err := g.delivery.inbox.Offer(setAddresses{addresses: u.Gateways}); err != nil {
			return err
		}
	}
	if len(u.Upserts) > 0 || len(u.Removed) > 0 {
		if err := g.probe.inbox.Offer(probeMessage{upserts: u.Upserts, removed: u.Removed}); err != nil {
			return err
		}
	}
	return g.dispatch.inbox.Offer(fleetUpdate{
		configuration: u.Configuration,
		upserts:       u.Upserts,
		removed:       u.Removed,
		gateways:      len(u.Gateways),
	})
}

// isProbed reports whether an instance is asked for its load.
func isProbed(instance fleet.Instance) bool {
	return instance.State == fleet.Live
}
