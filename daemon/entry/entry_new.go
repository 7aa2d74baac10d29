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
	"github.com/sycamorecourse/sycamorecourse/edge/bytelimit"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// New makes an entry gateway. Open starts its servers and Run its duties.
func New(s *boot.Settings, log zerolog.Logger, release string) *Entry {
	registry := prometheus.NewRegistry()
	group := thread.NewGroup(maxDuties)
	e := &Entry{settings: s, log: log, group: group}
	process := report.Process{Role: Role, Instance: s.Instance, FailureDomain: s.FailureDomain, Release: release}
	e.report = report.New(process, registry, group)
	dispatchRing := ring.New[dispatchMessage]("dispatch", dispatchCapacity)
	clusterRing := ring.New[clusterMessage]("cluster", controlCapacity)
	directoryRing := ring.New[directoryMessage]("directory", controlCapacity)
	metrics := newMetrics(registry)
	budget := bytelimit.NewBudget(responseBudget(s.MemoryBytes))
	e.upstream = httpc.New(httpc.Config{
		Name: "upstream", Capacity: upstreamCapacity, Dialers: 4, ConnectTimeout: upstreamConnectTimeout,
		OnUnsolicited: metrics.unsolicited(log), Budget: budget,
	})
	e.platform = httpc.New(httpc.Config{Name: "platform", Capacity: controlCapacity, ConnectTimeout: storeConnectTimeout})
	e.peer = httpc.New(httpc.Config{Name: "peer", Capacity: controlCapacity, ConnectTimeout: peerConnectTimeout})
	store := rows.New(s.StoreAddress, storeTimeout, e.platform)
	store.OnUnusableTimeline(func(field string) {
		log.Warn().Str("field", field).Msg("store_timeline_unusable")
	})
	store.OnTimeline(func(t rows.TimelineChange) {
		metrics.recordTimeline(t)
		if t.Former > 0 {
			log.Warn().Uint64("former", t.Former).Uint64("timeline", t.Present).Msg("store_restored")
			return
		}
		log.Info().Uint64("timeline", t.Present).Msg("store_timeline")
	})
	e.dispatch = &dispatcher{
		inbox:       dispatchRing,
		cluster:     clusterRing,
		upstream:    e.upstream,
		peers:       &peerClient{http: e.peer},
		instance:    s.Instance,
		budget:      budget,
		core:        relay.New(e.relayConfig()),
		clock:       clock.System{},
		log:         log,
		metrics:     metrics,
		requests:    make(map[relay.Handle]*openRequest),
		exchanges:   make(map[*httpd.Exchange]relay.Handle),
		usageWindow: max(s.UsageWindow, time.Second),
		usageCounts: make(map[int64]usage.Counts),
	}
	e.watch = newWatch(s.Instance)
	e.watch.roster.SetMinOutage(expiryHeartbeats * s.UpstreamHeartbeat)
	e.watch.inbox = ring.New[watchMessage]("watch", controlCapacity)
	e.watch.dispatch, e.watch.directory, e.watch.cluster = dispatchRing, directoryRing, clusterRing
	e.watch.store, e.watch.clock, e.watch.log = store, clock.System{}, log
	e.watch.client = &peerClient{http: e.peer}
	e.watch.propagationLimit = s.PropagationLimit
	e.watch.metrics, e.dispatch.watch = e.dispatch.metrics, e.watch.inbox
	e.cluster = e.newCoordinator(store, clusterRing)
	e.cluster.metrics = metrics
	e.peers = newPeers(s.Instance, s.FailureDomain)
	e.peers.plan.SetMaxInterval(max(time.Duration(pollIntervalShare*float64(s.PropagationLimit)), minPollLimit))
	e.peers.inbox = ring.New[peerMessage]("peers", controlCapacity)
	e.peers.cluster, e.peers.watch = clusterRing, e.watch.inbox
	e.peers.client = &peerClient{http: e.peer}
	e.peers.clock, e.peers.log = clock.System{}, log
	e.watch.peers, e.cluster.peers, e.cluster.watch = e.peers.inbox, e.peers.inbox, e.watch.inbox
	e.directory = &directory{inbox: directoryRing, ttl: min(addressTTL, s.MaxAddressTTL), log: log}
	e.directory.addresses = []string{s.CallerAddress}
	e.drain = &drain{
		inbox: ring.New[drainMessage]("drain", controlCapacity), dispatch: dispatchRing, cluster: clusterRing, directory: directoryRing,
		limit: s.KillTimeout, clock: clock.System{}, log: log,
	}
	e.cluster.drain = e.drain.inbox
	e.reloader = &reloader{inbox: ring.New[reloadMessage]("reload", controlCapacity), dispatch: dispatchRing, path: s.Path, log: log}
	handler := &intake{callerAddress: s.CallerAddress, dispatch: dispatchRing, directory: directoryRing, log: log}
	e.server = httpd.New(httpd.Config{
		Address:        s.CallerAddress,
		ExtraAddresses: []string{s.ReadyAddress, s.DirectoryAddress},
		Pollers:        1,
		MaxBodyBytes:   maxBodyBytes,
		IdleTimeout:    callerIdleTimeout,
		OnMalformed:    handler.logMalformed,
	}, handler)
	e.dispatch.server = e.server
	if s.AdminAddress != "" {
		e.admin = httpd.New(httpd.Config{Address: s.AdminAddress, Pollers: 1}, &admin{report: e.report, peers: e.peers.inbox, dispatch: dispatchRing, watch: e.watch.inbox, log: log})
	}
	e.dispatch.containment = containment{duty: "dispatch", log: log}
	e.watch.containment = containment{duty: "watch", log: log}
	e.cluster.containment = containment{duty: "cluster", log: log}
	e.peers.containment = containment{duty: "peers", log: log}
	e.registerSources()
	return e
}

func (e *Entry) relayConfig() relay.Config {
	return relay.Config{
		RetryRatio:          e.settings.RetryRatio,
		RetryExtra:          e.settings.RetryExtra,
		RetryWindow:         e.settings.RetryWindow,
		LimitWindow:         e.settings.LimitWindow,
		LimitOverage:        e.settings.LimitOverage,
		LimitSlack:          e.settings.LimitSlack,
		GatewayCountUnknown: true,
		Health: health.Config{
			MaxEjectedShare:  maxEjectedShare,
			BaseEjectionTime: baseEjectionTime,
			MaxEjectionTime:  maxEjectionTime,
			SlowStart:        slowStart,
		},
	}
}

func (e *Entry) newCoordinator(store *rows.Client, inbox *ring.Ring[clusterMessage]) *coordinator {
	s := e.settings
	incarnation := uint64(time.Now().UnixNano())
	config := lease.Config{
		TTL: s.LeaseTTL, Margin: leaseMargin, RenewEvery: leaseRenewInterval, WatchEvery: leaseWatchInterval, RetryEvery: leaseRetryDelay,
	}
	window := max(s.UsageWindow, time.Second)
	return &coordinator{
		inbox:     inbox,
		dispatch:  e.dispatch.inbox,
		directory: e.watch.directory,
		store:     store,
		leases:    rows.NewTable(leaseTable, store),
		cloud:     cloud.New(s.CloudAddress, cloudTimeout, e.platform),
		clock:     clock.System{},
		log:       e.log,
		record: cluster.Record{
			Instance: s.Instance, Incarnation: incarnation, FailureDomain: s.FailureDomain,
			Address: s.CallerAddress, PeerAddress: s.AdminAddress,
		},
		records: exchange.NewRecordLog(),
		view:    cluster.NewView(time.Duration(liveHeartbeats*float64(minHeartbeatInterval)), shareTimeout),
		tally:   usage.NewTally(window),
		usageReports: usageReports{
			reportsUsage: s.ReportsUsage && s.CloudAddress != "",
			reporter:     usage.NewReporter(window, usageSettleTime, s.UsageReportLimit),
			ledger:       usage.NewLedger(window, usageSettleTime),
		},
		ordersUpstreams: s.OrdersUpstreams && s.CloudAddress != "",
		planner:         scale.NewPlanner(),
		rolloutPlanner:  rollout.Planner{Exposure: rolloutExposure(s)},
		drainingAt:      make(map[roster.Incarnation]clock.Instant),
		lease:           lease.New(leaseName, config, lease.Holder{Instance: s.Instance, Incarnation: incarnation}),
	}
}

// rolloutExposure returns the part of the requests that may go to a version that proves
// to be worse.
func rolloutExposure(s *boot.Settings) float64 {
	if s.RolloutExposure <= 0 {
		return defaultExposure
	}
	return min(s.RolloutExposure, 1)
}

func (e *Entry) registerSources() {
	for _, stats := range []func() ring.Stats{
		e.dispatch.inbox.Stats, e.cluster.inbox.Stats, e.watch.inbox.Stats, e.directory.inbox.Stats,
		e.drain.inbox.Stats, e.peers.inbox.Stats, e.upstream.Stats, e.platform.Stats, e.peer.Stats,
	} {
		e.report.AddRing(stats)
	}
	e.report.AddSource("dispatch", func(reply *ring.Ring[report.Section]) error {
		return e.dispatch.inbox.Offer(dumpDispatch{reply: reply})
	})
	e.report.AddSource("watch", func(reply *ring.Ring[report.Section]) error {
		return e.watch.inbox.Offer(watchMessage{dump: reply})
	})
	e.report.AddSource("peers", func(reply *ring.Ring[report.Section]) error {
		return e.peers.inbox.Offer(dumpPeers{reply: reply})
	})
	e.report.AddSource("cluster", func(reply *ring.Ring[report.Section]) error {
		return e.cluster.inbox.Offer(dumpCluster{reply: reply})
	})
}

// responseBudget returns the most bytes that are kept of the responses of upstreams. The
// memory of the process is given in bytes; it is 0 if it is unknown.
func responseBudget(memory int64) int64 {
	if memory <= 0 {
		memory = defaultMemory
	}
	return memory / responseMemoryDivisor
}
