package controller

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/follow"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// links connects the controller to other processes: the link server and the
// follow duty, which exchanges state over it.
type links struct {
	link   *link.Links
	follow *follow.Follow
}

// newLinks makes the links of a controller. It fails with a *keys.LoadError.
func newLinks(s *Settings, incarnation uint64, planner *ring.Ring[plannerEvent], fleet *ring.Ring[fleetEvent], log zerolog.Logger, registry prometheus.Registerer) (*links, error) {
	files := keys.Files{Certificate: s.CertificateFile, Key: s.KeyFile, Authority: s.AuthorityFile}
	config, err := keys.Load(files, link.Protocol)
	if err != nil {
		return nil, err
	}
	followed := follow.New(follow.Config{
		Spread:   spread.Config{Seeds: s.Peers},
		Deliver:  func(u follow.Update) error { return deliver(planner, fleet, u) },
		Log:      log,
		Registry: registry,
	})
	linked := link.New(link.Config{
		Self: wire.Hello{
			Role:          Role,
			Instance:      s.Instance,
			Incarnation:   incarnation,
			FailureDomain: s.FailureDomain,
			Region:        s.Region,
		},
		Listen:   s.LinkAddress,
		TLS:      config,
		Handler:  followed,
		Log:      log,
		Registry: registry,
	})
	return &links{link: linked, follow: followed}, nil
}

// deliver passes the member list to the planner, and the instances published to
// the gateways to the fleet duty. Configurations are ignored: controllers read
// them from the table service.
func deliver(planner *ring.Ring[plannerEvent], fleet *ring.Ring[fleetEvent], u follow.Update) error {
	if u.Members != nil {
		if err := planner.Offer(plannerEvent{processes: &processUpdate{members: u.Members}}); err != nil {
			return err
		}
	}
	if len(u.Upserts)+len(u.Removed) == 0 {
		return nil
	}
	return fleet.Offer(fleetEvent{published: &publishedUpdate{upserts: u.Upserts, removed: u.Removed}})
}

// open opens the socket and starts the duties in a group.
func (l *links) open(group *thread.Group) error {
	if err := l.link.Open(group); err != nil {
		return err
	}
	l.follow.Open(group, l.link)
	return nil
}

// close ends the duties.
func (l *links) close() {
	l.follow.Close()
	l.link.Close()
}

// linkAddress returns the address where links are accepted, or "" without
// links. It is known after Open.
func (c *Controller) linkAddress() string {
	if c.links == nil {
		return ""
	}
	return c.links.link.Address()
}
