package gateway

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorecourse/sycamorecourse/daemon/follow"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// addressWeight is the weight of every gateway in the list of addresses:
// callers spread evenly over them.
const addressWeight = 1

// openLinks starts the links to other processes and the duty that follows the
// cluster state. A gateway without a link address has neither.
func (g *Gateway) openLinks(registry *prometheus.Registry) error {
	if g.settings.LinkAddress == "" {
		return nil
	}
	files := keys.Files{Authority: g.settings.AuthorityFile, Certificate: g.settings.CertificateFile, Key: g.settings.KeyFile}
	credentials, err := keys.Load(files, link.Protocol)
	if err != nil {
		return err
	}
	g.follow = follow.New(follow.Config{
		Spread:   spread.Config{Seeds: g.settings.Peers},
		Deliver:  g.applyUpdate,
		Next:     &peerHandler{inbox: g.dispatch.inbox},
		Log:      g.log,
		Registry: registry,
	})
	g.links = link.New(link.Config{
		Self: wire.Hello{
			Role:          Role,
			Instance:      g.settings.Instance,
			Incarnation:   uint64(time.Now().UnixNano()),
			FailureDomain: g.settings.FailureDomain,
			Region:        g.settings.Region,
			PublicAddress: g.settings.PublicAddress,
		},
		Listen:   g.settings.LinkAddress,
		TLS:      credentials,
		Handler:  g.follow,
		Log:      g.log,
		Registry: registry,
	})
	if err := g.links.Open(g.group); err != nil {
		return err
	}
	g.dispatch.handover.links = g.links
	g.follow.Open(g.group, g.links)
	g.report.AddRing(g.links.RingStats)
	g.report.AddRing(g.follow.RingStats)
	g.report.AddSource("follow", g.follow.Dump)
	return nil
}

// applyUpdate passes an update of the cluster state to the duties. It runs on
// the follow duty.
func (g *Gateway) applyUpdate(u follow.Update) error {
	return g.Apply(Update{
		Configuration: u.Configuration,
		Upserts:       u.Upserts,
		Removed:       u.Removed,
		Gateways:      gatewayAddresses(u.Members),
	})
}

// gatewayAddresses returns the addresses of the gateways that callers may use.
// It returns nil, for no change, if members is nil.
func gatewayAddresses(members []spread.Member) []NamedAddress {
	if members == nil {
		return nil
	}
	list := []NamedAddress{}
	for _, m := range members {
		if m.Role != Role || m.State != spread.Live || m.PublicAddress == "" {
			continue
		}
		list = append(list, NamedAddress{
			Instance: strings.TrimPrefix(m.ID, Role+"/"),
			Address: caller.Address{
				Address:       m.PublicAddress,
				FailureDomain: m.FailureDomain,
				Weight:        addressWeight,
			},
		})
	}
	return list
}

// closeLinks tells the other processes that this one is ending and closes the
// links.
func (g *Gateway) closeLinks() {
	if g.links == nil {
		return
	}
	_ = g.follow.SetGone()
	g.follow.Close()
	g.links.Close()
}
