package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
)

const (
	// maxDuties bounds the number of threads of the process.
	maxDuties = 32
	// dispatchCapacity is the capacity of the ring of the dispatch duty.
	dispatchCapacity = 8192
	// upstreamCapacity is the capacity of the ring of the client for upstreams.
	upstreamCapacity = 8192
	// defaultMemory is the memory that is assumed if the settings do not tell it, in bytes.
	defaultMemory = 256 << 20
	// responseMemoryDivisor gives the part of the memory for responses of upstreams that
	// are not passed on yet: the garbage collector lets the heap grow to a multiple.
	responseMemoryDivisor = 8
	// controlCapacity is the capacity of each ring that carries no requests.
	controlCapacity = 256
	// storeTimeout bounds a call to the store other than a feed, which waits for
	// changes.
	storeTimeout = 1200 * time.Millisecond
	// cloudTimeout bounds a call to the cloud API.
	cloudTimeout = 2 * time.Second
	// upstreamConnectTimeout bounds connecting to an upstream.
	upstreamConnectTimeout = 300 * time.Millisecond
	// storeConnectTimeout bounds connecting to the store or the cloud API.
	storeConnectTimeout = 500 * time.Millisecond
	// maxBodyBytes bounds the body that the server reads. The limit in the
	// configuration, which the callers comply with, is lower.
	maxBodyBytes = 8 << 20
	// callerIdleTimeout closes an idle connection of a caller. It is longer than any
	// caller keeps an idle connection.
	callerIdleTimeout = 90 * time.Second
	// addressTTL is how long callers may cache the addresses from the directory.
	addressTTL = time.Second
	// peerConnectTimeout bounds connecting to another gateway.
	peerConnectTimeout = 300 * time.Millisecond
	// leaseMargin allows for clocks that run at different rates during a lease.
	leaseMargin = 300 * time.Millisecond
	// leaseRenewInterval is the time between two renewals of a held lease.
	leaseRenewInterval = 900 * time.Millisecond
	// leaseWatchInterval is the time between two reads of a lease that another
	// gateway holds.
	leaseWatchInterval = time.Second
	// leaseRetryDelay is the delay after a failed call for a lease.
	leaseRetryDelay = 300 * time.Millisecond
	// baseEjectionTime is how long a failing upstream is ejected the first time.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the ejection time, which grows with repeated failures.
	maxEjectionTime = 8 * time.Second
	// slowStart is the time over which an upstream's traffic is ramped up after an
	// ejection.
	slowStart = 2 * time.Second
	// maxEjectedShare is the share of a service's upstreams that may be ejected at
	// the same time.
	maxEjectedShare = 0.7
)

// Entry is the entry gateway: its duties and the rings between them.
type Entry struct {
	settings  *boot.Settings
	log       zerolog.Logger
	group     *thread.Group
	report    *report.Report
	dispatch  *dispatcher
	watch     *watch
	cluster   *coordinator
	peers     *peers
	directory *directory
	drain     *drain
	reloader  *reloader
	upstream  *httpc.Client
	platform  *httpc.Client
	peer      *httpc.Client
	server    *httpd.Server
	admin     *httpd.Server
}

// AddRing adds a ring that belongs to another part of the process to the state
// dump and the metrics. It must be called before Run.
func (e *Entry) AddRing(stats func() ring.Stats) {
	e.report.AddRing(stats)
}

// Open opens the clients and servers. The servers accept connections from then
// on.
func (e *Entry) Open() error {
	if err := e.upstream.Open(); err != nil {
		return &StartError{Part: "upstream client", Err: err}
	}
	if err := e.platform.Open(); err != nil {
		return &StartError{Part: "platform client", Err: err}
	}
	if err := e.peer.Open(); err != nil {
		return &StartError{Part: "peer client", Err: err}
	}
	if err := e.server.Open(); err != nil {
		return err
	}
	if e.admin == nil {
		return nil
	}
	return e.admin.Open()
}

// Stop begins a graceful shutdown. A second call makes Run return without waiting
// for open requests. Any thread may call it.
func (e *Entry) Stop() {
	if err := e.drain.inbox.Offer(drainMessage{}); err != nil {
		e.log.Warn().Str("cause", err.Error()).Msg("stop_repeated")
	}
}

// Reload makes the gateway reread its settings file. Any thread may call it.
func (e *Entry) Reload() {
	if err := e.reloader.inbox.Offer(reloadMessage{}); err != nil {
		e.log.Warn().Str("cause", err.Error()).Msg("reload_repeated")
	}
}

// Run runs the duties until a shutdown is complete or one of them fails. It
// returns nil after a graceful shutdown.
func (e *Entry) Run() error {
	e.group.Start("upstream", e.upstream.Run)
	e.group.Start("platform", e.platform.Run)
	e.group.Start("peer", e.peer.Run)
	e.group.Start("peers", e.peers.run)
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

// Close stops all duties and closes all connections after Run has returned. It is
// only needed if the process does not exit then.
func (e *Entry) Close() error {
	e.drain.inbox.Close()
	e.reloader.inbox.Close()
	e.watch.inbox.Close()
	e.cluster.inbox.Close()
	e.directory.inbox.Close()
	e.dispatch.inbox.Close()
	e.peers.inbox.Close()
	e.upstream.Close()
	e.platform.Close()
	e.peer.Close()
	e.report.Close()
	err := e.group.Join()
	e.server.Close()
	if e.admin != nil {
		e.admin.Close()
	}
	return err
}
