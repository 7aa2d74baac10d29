package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/follow"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	platform "github.com/sycamorecourse/sycamorecourse/edge/platform/table"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

const (
	// maxDuties limits the duties of a gateway.
	maxDuties = 128
	// admissionSlots is the capacity of the admission ring.
	admissionSlots = 1024
	// drainSlots is the capacity of the drain ring.
	drainSlots = 4
	// probeSlots is the capacity of the probe ring.
	probeSlots = 16
	// upstreamDialers is the number of threads that establish connections to
	// upstreams. One that does not answer occupies a thread for a second.
	upstreamDialers = 8
	// slotsPerRequest is the number of slots for each request in the dispatch
	// and delivery rings, in addition to the reserved ones.
	slotsPerRequest = 4
)

// Gateway is the gateway role: its duties and the rings between them.
type Gateway struct {
	settings    *Settings
	log         zerolog.Logger
	group       *thread.Group
	report      *report.Report
	intake      *intake
	admission   *admission
	dispatch    *dispatcher
	delivery    *delivery
	probe       *probe
	drain       *drain
	upstream    *httpc.Client
	tableClient *httpc.Client
	api         *httpd.Server
	admin       *httpd.Server
	registry    *prometheus.Registry
	// links and follow are nil for a gateway without a link address.
	links  *link.Links
	follow *follow.Follow
}

// New makes a gateway. Open starts its servers and clients, Run its duties.
func New(s *Settings, log zerolog.Logger, release string) *Gateway {
	registry := prometheus.NewRegistry()
	group := thread.NewGroup(maxDuties)
	g := &Gateway{settings: s, log: log, group: group, registry: registry}
	process := report.Process{Role: Role, Instance: s.Instance, FailureDomain: s.FailureDomain, Release: release}
	g.report = report.New(process, registry, group)
	admissions := ring.New[admissionMessage]("admission", admissionSlots)
	// The 3 extra slots are reserved by a request: one for the end of its
	// attempt, one for a read and one for a write of the table.
	dispatches := ring.New[dispatchMessage]("dispatch", s.MaxRequests*(slotsPerRequest+3))
	deliveries := ring.New[deliveryMessage]("delivery", s.MaxRequests*(slotsPerRequest+reservedSlotsPerCaller))
	g.upstream = httpc.New(httpc.Config{Name: "upstream", Capacity: 2 * s.MaxRequests, Dialers: upstreamDialers})
	g.tableClient = httpc.New(httpc.Config{Name: "record", Capacity: 2 * s.MaxRequests})
	g.intake = &intake{limits: caller.Limits{}.WithDefaults(), admission: admissions, delivery: deliveries, log: log}
	g.admission = &admission{inbox: admissions, dispatch: dispatches, delivery: deliveries, addressKeep: s.AddressKeep}
	g.dispatch = newDispatcher(s, log, registry, dispatches, deliveries)
	g.dispatch.upstream = g.upstream
	g.dispatch.table = g.newTable()
	g.delivery = newDelivery(log, dispatches, deliveries)
	g.probe = &probe{
		inbox:    ring.New[probeMessage]("probe", probeSlots),
		dispatch: dispatches,
		upstream: g.upstream,
		interval: s.ProbeInterval,
	}
	g.dispatch.probe = g.probe.inbox
	g.drain = &drain{
		inbox:      ring.New[drainMessage]("drain", drainSlots),
		dispatch:   dispatches,
		announce:   g.announceDrain,
		leaveDelay: s.LeaveDelay,
		limit:      s.DrainTimeout,
		clock:      clock.System{},
		log:        log,
	}
	g.api = httpd.New(httpd.Config{Address: s.ListenAddress, OnMalformed: g.intake.malformed}, g.intake)
	g.admin = httpd.New(httpd.Config{Address: s.AdminAddress, Pollers: 1}, g.report)
	g.addToReport()
	return g
}

func newDispatcher(s *Settings, log zerolog.Logger, registry *prometheus.Registry, inbox *ring.Ring[dispatchMessage], delivery *ring.Ring[deliveryMessage]) *dispatcher {
	incarnation := uint64(time.Now().UnixNano())
	core := dispatch.New(dispatch.Config{
		Holder:      attempt.Holder{Instance: s.Instance, Incarnation: incarnation},
		ClaimWindow: attempt.Window{Length: s.AttemptWindow, Margin: s.AttemptWindow / 50},
		MaxRequests: s.MaxRequests,
		MaxAttempts: s.MaxAttempts,
		Retention:   s.Retention,
		ResumeGrace: s.ResumeGrace,
		Route:       route.Config{Policy: route.Policy(s.Policy)},
	})
	return &dispatcher{
		handover: &handover{
			core:          core,
			delivery:      delivery,
			failureDomain: s.FailureDomain,
			log:           log,
			lastNumber:    incarnation,
			gateways:      make(map[string]wire.Hello),
			offers:        make(map[uint64]pendingOffer),
			sources:       make(map[uint64]offerSource),
		},
		inbox:    inbox,
		delivery: delivery,
		core:     core,
		clock:    clock.System{},
		log:      log,
		metrics:  newMetrics(registry),
		calls:    make(map[dispatch.StreamRef]*httpc.Call),
	}
}

// newTable returns the client of the table service, which records the attempts
// of non-idempotent requests.
func (g *Gateway) newTable() table {
	if g.settings.TableAddress == "" {
		return noTable{}
	}
	return platform.New(platform.Config{Address: g.settings.TableAddress, Timeout: g.settings.TableTimeout}, g.tableClient)
}

// addToReport adds the rings and duties to the metrics and the state dump.
func (g *Gateway) addToReport() {
	for _, stats := range []func() ring.Stats{
		g.admission.inbox.Stats, g.dispatch.inbox.Stats, g.delivery.inbox.Stats,
		g.probe.inbox.Stats, g.drain.inbox.Stats, g.upstream.Stats, g.tableClient.Stats,
	} {
		g.report.AddRing(stats)
	}
	g.report.AddSource("admission", func(reply *ring.Ring[report.Section]) error {
		return g.admission.inbox.Offer(admissionMessage{dump: reply})
	})
	g.report.AddSource("dispatch", func(reply *ring.Ring[report.Section]) error {
		return g.dispatch.inbox.Offer(dumpDispatch{reply: reply})
	})
	g.report.AddSource("delivery", func(reply *ring.Ring[report.Section]) error {
		return g.delivery.inbox.Offer(dumpDelivery{reply: reply})
	})
}

// Open starts the servers and clients.
func (g *Gateway) Open() error {
	if err := g.upstream.Open(); err != nil {
		return &StartError{Part: "upstream client", Err: err}
	}
	if err := g.tableClient.Open(); err != nil {
		return &StartError{Part: "record client", Err: err}
	}
	if err := g.api.Open(); err != nil {
		return err
	}
	if err := g.admin.Open(); err != nil {
		return err
	}
	if g.settings.PublicAddress == "" {
		g.settings.PublicAddress = g.api.Address()
	}
	g.delivery.address = g.settings.PublicAddress
	return g.openLinks(g.registry)
}

// Address returns the address that callers are told to use. It is known after
// Open.
func (g *Gateway) Address() string {
	return g.settings.PublicAddress
}

// AdminAddress returns the address that serves health, metrics and the state
// dump. It is known after Open.
func (g *Gateway) AdminAddress() string {
	return g.admin.Address()
}

// Stop starts a graceful shutdown; a second call ends the gateway at once. It
// may be called from any thread.
func (g *Gateway) Stop() {
	_ = g.drain.inbox.Offer(drainMessage{})
}

// Run runs the duties until a shutdown completes or a duty fails. It returns
// nil after a graceful shutdown.
func (g *Gateway) Run() error {
	g.group.Start("delivery", g.delivery.run)
	g.group.Start("upstream", g.upstream.Run)
	g.group.Start("record", g.tableClient.Run)
	g.group.Start("dispatch", g.dispatch.run)
	g.group.Start("admission", g.admission.run)
	g.group.Start("probe", g.probe.run)
	g.group.Start("drain", g.drain.run)
	g.group.Start("report", g.report.Run)
	g.log.Info().Str("instance", g.settings.Instance).Str("failure_domain", g.settings.FailureDomain).
		Str("listen", g.api.Address()).Str("admin", g.admin.Address()).Str("link", g.linkAddress()).
		Msg("gateway_started")
	ended, err := g.group.WaitAny()
	if err == nil && ended.Err != nil {
		g.log.Error().Str("duty", ended.Duty).Str("cause", ended.Err.Error()).Msg("duty_failed")
	}
	g.close()
	return ended.Err
}

func (g *Gateway) linkAddress() string {
	if g.links == nil {
		return ""
	}
	return g.links.Address()
}

func (g *Gateway) close() {
	g.closeLinks()
	g.drain.inbox.Close()
	g.probe.inbox.Close()
	g.admission.inbox.Close()
	g.dispatch.inbox.Close()
	g.upstream.Close()
	g.tableClient.Close()
	g.delivery.inbox.Close()
	g.report.Close()
	if err := g.group.Join(); err != nil {
		g.log.Error().Str("cause", err.Error()).Msg("end_failed")
	}
	g.api.Close()
	g.admin.Close()
	g.log.Info().Msg("gateway_ended")
}

// announceDrain tells the duties and the other processes that this gateway is
// shutting down.
func (g *Gateway) announceDrain() {
	_ = g.admission.inbox.Offer(admissionMessage{drain: true})
	_ = g.dispatch.inbox.Offer(startDrain{})
	if g.follow != nil {
		// If the message is lost, later heartbeats carry the state.
		_ = g.follow.SetLeaving()
	}
}
