package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

const (
	// maxDuties bounds the duties of the process.
	maxDuties = 32
	// dispatchSlots is the capacity of dispatch's ring.
	dispatchSlots = 8192
	// upstreamSlots is the capacity of the ring of the upstreams' connections.
	upstreamSlots = 8192
	// controlSlots is the capacity of the rings beside the path of requests.
	controlSlots = 256
	// storeTimeout bounds a call of the store that does not wait for changes.
	storeTimeout = 1200 * time.Millisecond
	// cloudTimeout bounds a call of the cloud.
	cloudTimeout = 2 * time.Second
	// upstreamConnect bounds the making of a connection to an upstream.
	upstreamConnect = 300 * time.Millisecond
	// storeConnect bounds the making of a connection to the store or the cloud.
	storeConnect = 500 * time.Millisecond
	// maxBodyBytes bounds the body of a request; the configuration's own bound,
	// which callers keep to, is lower.
	maxBodyBytes = 8 << 20
	// callerIdle ends an unused connection of a caller. It is longer than any
	// caller keeps one.
	callerIdle = 90 * time.Second
	// addressKeep is how long callers are told to keep addresses.
	addressKeep = time.Second
	// leaseMargin covers the difference of the rates of two clocks over a lease.
	leaseMargin = 300 * time.Millisecond
	// leaseRenew is the time between two renewals of a lease.
	leaseRenew = 900 * time.Millisecond
	// leaseWatch is the time between two looks at another's lease.
	leaseWatch = time.Second
	// leaseRetry is the wait after a failed call for a lease.
	leaseRetry = 300 * time.Millisecond
	// ejection is how long an upstream that failed is left out at first.
	ejection = time.Second
	// maxEjection bounds that time.
	maxEjection = 8 * time.Second
	// returnTime is the time over which an upstream that returns gets its full
	// part again.
	returnTime = 2 * time.Second
	// maxEjected is the share of a service's upstreams that may be left out.
	maxEjected = 0.7
)

// Entry is the role: its duties and the rings between them.
type Entry struct {
	settings  *boot.Settings
	log       zerolog.Logger
	group     *thread.Group
	report    *report.Report
	dispatch  *dispatcher
	watch     *watch
	cluster   *clusterer
	directory *directory
	drain     *drain
	reloader  *reloader
	upstream  *httpc.Client
	platform  *httpc.Client
	server    *httpd.Server
	admin     *httpd.Server
}

// New makes the role. Open starts its servers and Run its duties.
func New(s *boot.Settings, log zerolog.Logger, release string) *Entry {
	registry := prometheus.NewRegistry()
	group := thread.NewGroup(maxDuties)
	e := &Entry{settings: s, log: log, group: group}
	process := report.Process{Role: Role, Instance: s.Instance, FailureDomain: s.FailureDomain, Release: release}
	e.report = report.New(process, registry, group)
	dispatches := ring.New[dispatchMessage]("dispatch", dispatchSlots)
	clusters := ring.New[clusterMessage]("cluster", controlSlots)
	directories := ring.New[directoryMessage]("directory", controlSlots)
	e.upstream = httpc.New(httpc.Config{Name: "upstream", Capacity: upstreamSlots, Dialers: 4, ConnectTimeout: upstreamConnect})
	e.platform = httpc.New(httpc.Config{Name: "platform", Capacity: controlSlots, ConnectTimeout: storeConnect})
	store := rows.New(s.StoreAddress, storeTimeout, e.platform)
	e.dispatch = &dispatcher{
		inbox:     dispatches,
		cluster:   clusters,
		upstream:  e.upstream,
		core:      relay.New(e.relayConfig()),
		clock:     clock.System{},
		log:       log,
		metrics:   newMetrics(registry),
		requests:  make(map[relay.Handle]*openRequest),
		exchanges: make(map[*httpd.Exchange]relay.Handle),
		length:    max(s.UsageWindow, time.Second),
		counted:   make(map[int64]usage.Counts),
	}
	e.watch = newWatch()
	e.watch.inbox = ring.New[watchMessage]("watch", controlSlots)
	e.watch.dispatch, e.watch.directory, e.watch.cluster = dispatches, directories, clusters
	e.watch.store, e.watch.clock, e.watch.log = store, clock.System{}, log
	e.watch.newsLimit = s.NewsLimit
	e.cluster = e.newClusterer(store, clusters)
	e.directory = &directory{inbox: directories, keep: min(addressKeep, s.AddressKeep), log: log}
	e.directory.addresses = []string{s.CallerAddress}
	e.drain = &drain{
		inbox: ring.New[drainMessage]("drain", controlSlots), dispatch: dispatches, cluster: clusters, directory: directories,
		limit: s.StopLimit, clock: clock.System{}, log: log,
	}
	e.reloader = &reloader{inbox: ring.New[reloadMessage]("reload", controlSlots), dispatch: dispatches, path: s.Path, log: log}
	in := &intake{callerAddress: s.CallerAddress, dispatch: dispatches, directory: directories, log: log}
	e.server = httpd.New(httpd.Config{
		Address:        s.CallerAddress,
		ExtraAddresses: []string{s.ReadyAddress, s.DirectoryAddress},
		Pollers:        1,
		MaxBodyBytes:   maxBodyBytes,
		IdleTimeout:    callerIdle,
		OnMalformed:    in.malformed,
	}, in)
	if s.AdminAddress != "" {
		e.admin = httpd.New(httpd.Config{Address: s.AdminAddress, Pollers: 1}, e.report)
	}
	e.describe()
	return e
}

func (e *Entry) relayConfig() relay.Config {
	return relay.Config{
		RetryRatio:          e.settings.RetryRatio,
		RetryExtra:          e.settings.RetryExtra,
		RetryWindow:         e.settings.RetryWindow,
		LimitWindow:         e.settings.LimitWindow,
		LimitSlack:          e.settings.LimitSlack,
		GatewayCountUnknown: true,
		Health: health.Config{
			MaxEjectedShare:  maxEjected,
			BaseEjectionTime: ejection,
			MaxEjectionTime:  maxEjection,
			SlowStart:        returnTime,
		},
	}
}

func (e *Entry) newClusterer(store *rows.Client, inbox *ring.Ring[clusterMessage]) *clusterer {
	s := e.settings
	incarnation := uint64(time.Now().UnixNano())
	config := lease.Config{
		TTL: s.LeaseTime, Margin: leaseMargin, RenewEvery: leaseRenew, WatchEvery: leaseWatch, RetryEvery: leaseRetry,
	}
	window := max(s.UsageWindow, time.Second)
	return &clusterer{
		inbox:     inbox,
		dispatch:  e.dispatch.inbox,
		directory: e.watch.directory,
		store:     store,
		leases:    rows.NewTable(leaseTable, store),
		cloud:     cloud.New(s.CloudAddress, cloudTimeout, e.platform),
		clock:     clock.System{},
		log:       e.log,
		card: cluster.Record{
			Instance: s.Instance, Incarnation: incarnation, FailureDomain: s.FailureDomain, Address: s.CallerAddress,
		},
		view:     cluster.NewView(time.Duration(silentBeats*float64(heartbeatEvery)), holdLimit),
		tally:    usage.NewTally(window),
		reporter: usage.NewReporter(window, usageSettle, s.UsageLimit),
		reports:  s.ReportsUsage && s.CloudAddress != "",
		orders:   s.OrdersUpstreams && s.CloudAddress != "",
		planner:  scale.NewPlanner(),
		lease:    lease.New(leaseName, config, lease.Holder{Instance: s.Instance, Incarnation: incarnation}),
	}
}

func (e *Entry) describe() {
	for _, stats := range []func() ring.Stats{
		e.dispatch.inbox.Stats, e.cluster.inbox.Stats, e.watch.inbox.Stats, e.directory.inbox.Stats,
		e.drain.inbox.Stats, e.upstream.Stats, e.platform.Stats,
	} {
		e.report.AddRing(stats)
	}
	e.report.AddSource("dispatch", func(reply *ring.Ring[report.Section]) error {
		return e.dispatch.inbox.Offer(dumpDispatch{reply: reply})
	})
	e.report.AddSource("watch", func(reply *ring.Ring[report.Section]) error {
		return e.watch.inbox.Offer(watchMessage{dump: reply})
	})
	e.report.AddSource("cluster", func(reply *ring.Ring[report.Section]) error {
		return e.cluster.inbox.Offer(dumpCluster{reply: reply})
	})
}

// AddRing makes a ring of the process part of the dump and the metrics. It is
// called before Run.
func (e *Entry) AddRing(stats func() ring.Stats) {
	e.report.AddRing(stats)
}

// Open starts the servers and clients.
func (e *Entry) Open() error {
	if err := e.upstream.Open(); err != nil {
		return &StartError{Part: "upstream client", Err: err}
	}
	if err := e.platform.Open(); err != nil {
		return &StartError{Part: "platform client", Err: err}
	}
	if err := e.server.Open(); err != nil {
		return err
	}
	if e.admin == nil {
		return nil
	}
	return e.admin.Open()
}

// Stop begins a graceful shutdown; a second call ends it at once. Any thread
// may call it.
func (e *Entry) Stop() {
	if err := e.drain.inbox.Offer(drainMessage{}); err != nil {
		e.log.Warn().Str("cause", err.Error()).Msg("stop_repeated")
	}
}

// Reload asks for the settings file to be read again. Any thread may call it.
func (e *Entry) Reload() {
	if err := e.reloader.inbox.Offer(reloadMessage{}); err != nil {
		e.log.Warn().Str("cause", err.Error()).Msg("reload_repeated")
	}
}

// Run runs the duties until a shutdown is complete or one of them fails. It
// returns nil after a graceful end.
func (e *Entry) Run() error {
	e.group.Start("upstream", e.upstream.Run)
	e.group.Start("platform", e.platform.Run)
	e.group.Start("dispatch", e.dispatch.run)
	e.group.Start("directory", e.directory.run)
	e.group.Start("cluster", e.cluster.run)
	e.group.Start("watch", e.watch.run)
	e.group.Start("drain", e.drain.run)
	e.group.Start("reload", e.reloader.run)
	e.group.Start("report", e.report.Run)
	s := e.settings
	e.log.Info().Str("instance", s.Instance).Str("failure_domain", s.FailureDomain).
		Str("callers", s.CallerAddress).Str("ready", s.ReadyAddress).Str("directory", s.DirectoryAddress).
		Str("admin", s.AdminAddress).Str("store", s.StoreAddress).Msg("started")
	ended, err := e.group.WaitAny()
	if err != nil {
		e.log.Error().Str("cause", err.Error()).Msg("end_failed")
	}
	if ended.Err != nil {
		e.log.Error().Str("duty", ended.Duty).Str("cause", ended.Err.Error()).Msg("duty_failed")
	}
	e.log.Info().Str("duty", ended.Duty).Msg("stopped")
	return ended.Err
}

// Close ends all duties and connections after Run has returned, for a process
// that goes on.
func (e *Entry) Close() error {
	e.drain.inbox.Close()
	e.reloader.inbox.Close()
	e.watch.inbox.Close()
	e.cluster.inbox.Close()
	e.directory.inbox.Close()
	e.dispatch.inbox.Close()
	e.upstream.Close()
	e.platform.Close()
	e.report.Close()
	err := e.group.Join()
	e.server.Close()
	if e.admin != nil {
		e.admin.Close()
	}
	return err
}
