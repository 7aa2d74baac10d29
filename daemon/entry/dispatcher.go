package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/bytelimit"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

const (
	// ringFullRetryAfter is the Retry-After of a request that is refused because the
	// ring of dispatch is full.
	ringFullRetryAfter = 500 * time.Millisecond
	// statsInterval is the time between two messages with statistics to the cluster
	// duty.
	statsInterval = 500 * time.Millisecond
	// sendTimeout bounds the time from the choice of an upstream until the first
	// byte of the request is sent there.
	sendTimeout = 400 * time.Millisecond
)

// dispatcher is the duty that owns all requests and their responses. It reports
// events to a relay.Core, which makes the decisions, and carries out its actions.
type dispatcher struct {
	inbox    *ring.Ring[dispatchMessage]
	cluster  *ring.Ring[clusterMessage]
	watch    *ring.Ring[watchMessage]
	upstream *httpc.Client
	peers    *peerClient
	// budget bounds what is kept of the responses of upstreams.
	budget  *bytelimit.Budget
	core    *relay.Core
	clock   clock.Clock
	log     zerolog.Logger
	metrics *metrics

	containment containment
	requests    map[relay.Handle]*openRequest
	exchanges   map[*httpd.Exchange]relay.Handle
	lastHandle  relay.Handle
	// closesConnections makes each response the last one of its connection.
	closesConnections bool

	// clockOffset is the wall clock, as time since the Unix epoch, minus the
	// monotonic clock; 0 until it is known.
	clockOffset time.Duration
	// storeOffset is the store's clock minus the monotonic clock; 0 until it is known.
	storeOffset time.Duration
	// usageWindow is the length of a usage window.
	usageWindow time.Duration
	// usageCounts holds the counts by usage window that are not yet published.
	usageCounts map[int64]usage.Counts
	// draining are upstreams that are leaving, which the watch duty does not know yet.
	draining []roster.Incarnation
	// server receives the requests; nil in tests without one.
	server *httpd.Server
	// instance names this gateway.
	instance string
	// toldAt is when other holders of limits were last told of this gateway's use.
	toldAt clock.Instant
	// publishedAt is when statistics were last sent to the cluster duty.
	publishedAt clock.Instant
	// hasEnded is set once no further requests are served.
	hasEnded bool
}

func (d *dispatcher) run() error {
	for {
		now := d.clock.Now()
		m, ok, err := d.inbox.TakeUntil(d.core.NextTick(now, tellInterval))
		if err != nil {
			return nil
		}
		now = d.clock.Now()
		if ok && !d.containment.run(m, now, func() { d.handle(m, now) }) {
			d.abandonMessage(m)
		}
		d.containment.run(nil, now, func() {
			d.core.Tick(now)
			d.runActions(now)
			d.publishStats(now)
			d.tellPartners(now)
		})
	}
}

// abandonMessage closes the connection of a request whose handling panicked. The
// caller is not told whether it has run, since that is not known.
func (d *dispatcher) abandonMessage(m dispatchMessage) {
	arrived, ok := m.(requestArrived)
	if !ok || arrived.exchange == nil {
		return
	}
	d.log.Error().Str("id", arrived.request.ID).Msg("request_abandoned")
	arrived.exchange.Abort()
}

func (d *dispatcher) handle(m dispatchMessage, now clock.Instant) {
	switch m := m.(type) {
	case requestArrived:
		d.handleRequest(m, now)
	case *attemptUpdate:
		d.handleUpdate(m, now)
	case callerGone:
		d.handleCallerGone(m.exchange, now)
	case setCatalog:
		d.configure(m.catalog, now)
	case setUpstreams:
		d.core.SetUpstreams(m.list, now)
	case setRetryBudget:
		d.core.SetRetryBudget(m.ratio, m.extra, m.window)
	case confirmUpstreams:
		d.core.ConfirmUpstreams(now)
	case setDivision:
		d.core.SetDivision(m.division, now)
		d.core.SetReadyPeers(m.readyPeers)
	case mergeEvidence:
		d.core.MergeEvidence(m.list, now)
	case limitAsked:
		d.answerLimit(m, now)
	case limitAnswered:
		d.handleLimitAnswer(m, now)
	case setRollouts:
		d.core.SetRollouts(m.orders)
	case hearRollouts:
		d.core.HearRollouts(m.stages, m.evidence)
	case limitsStored:
		d.core.LimitsStored(m.spent, m.reserves, m.countedAt)
	case useTold:
		d.answerUse(m, now)
	case useHeard:
		d.handleUse(m, now)
	case inheritUse:
		d.core.InheritUse(m.former, now)
	case setClockOffset:
		d.clockOffset, d.storeOffset = m.offset, m.store
	case closeConnections:
		d.closesConnections = true
	case stopAccepting:
		d.core.Drain(m.until, m.longStreamsUntil)
	case countOpenRequests:
		open := d.core.OpenRequests()
		if m.drainIfNone && open == 0 {
			d.core.End(now)
			d.end(now)
		}
		_ = m.reply.Offer(open)
	case endRequests:
		open := d.core.OpenRequests()
		d.core.Stop(now)
		d.runActions(now)
		d.end(now)
		_ = m.reply.Offer(open)
	case dumpDispatch:
		_ = m.reply.Offer(report.Section{Name: "dispatch", State: d.core.Snapshot(now)})
	}
}

// configure applies a configuration. The server rejects bodies beyond its limit as soon as
// their size is known.
func (d *dispatcher) configure(c *catalog.Catalog, now clock.Instant) {
	d.core.Configure(c, now)
	if d.server != nil {
		d.server.SetMaxBodyBytes(c.Limits.MaxBodyBytes)
	}
}

func (d *dispatcher) handleRequest(m requestArrived, now clock.Instant) {
	d.lastHandle++
	m.request.Handle = d.lastHandle
	d.requests[d.lastHandle] = newOpenRequest(m.exchange)
	d.exchanges[m.exchange] = d.lastHandle
	d.core.RequestArrived(m.request, now)
}

func (d *dispatcher) handleCallerGone(x *httpd.Exchange, now clock.Instant) {
	if h, ok := d.exchanges[x]; ok {
		d.core.CallerGone(h, now)
	}
}

// handleUpdate passes an update to the core in the order head, body, end.
func (d *dispatcher) handleUpdate(m *attemptUpdate, now clock.Instant) {
	o := d.requests[m.ref.Handle]
	if o == nil {
		return
	}
	if m.header != nil {
		o.headers[m.ref.Attempt] = m.header
		o.statuses[m.ref.Attempt] = m.head.Status
		if m.head.NotRun || m.head.Misdirected {
			d.logRejected(o, m, now)
		}
		d.core.HeadReceived(m.ref, m.head, now)
	}
	if len(m.body.Bytes) > 0 {
		d.core.BodyReceived(m.ref, m.body, now)
	}
	if m.done || m.failure != nil {
		o.forgetAttempt(m.ref)
	}
	if m.done {
		d.core.ResponseEnded(m.ref, now)
	}
	if m.failure != nil {
		d.core.AttemptFailed(m.ref, *m.failure, now)
	}
}

// logRequest logs a retry or the end of a request. At its end it removes the
// request, since the core emits no further actions for it.
func (d *dispatcher) logRequest(n *relay.LogEntry) {
	d.metrics.record(n)
	if n.Event == relay.RequestEnded {
		if o := d.requests[n.Handle]; o != nil {
			delete(d.requests, n.Handle)
			delete(d.exchanges, o.exchange)
		}
	}
	line := d.log.Info().Str("id", n.ID).Str("route", n.Route).Str("customer", n.Customer).
		Str("upstream", n.Upstream).Int("attempts", n.Attempts).Str("reason", string(n.Reason)).
		Bool("not_run", n.NotRun).Int("status", n.Status).
		Int64("first_ms", n.TimeToFirstEvent.Milliseconds()).Int64("took_ms", n.Elapsed.Milliseconds()).
		Int64("predicted_ms", n.PredictedFirstEvent.Milliseconds()).Int("cached", n.CachedTokens).Int("open", n.Open).
		Uint64("config", n.ConfigVersion).Int64("view_age_ms", n.UpstreamListAge.Milliseconds()).
		Str("detail", n.Detail)
	if f := n.Limit; f != nil {
		line = line.Float64("limit_ceiling", f.Ceiling).Float64("limit_used", f.Used).Float64("limit_used_by_others", f.UsedByOthers).
			Float64("limit_unknown", f.Unknown).Float64("limit_available", f.Available).Int("limit_holders", f.Holders).
			Float64("limit_silent", f.Silent).Int("limit_silent_gateways", f.SilentGateways).
			Bool("limit_holder", f.IsHolder).Bool("limit_standby", f.IsStandby).Int64("limit_news_age_ms", f.NewsAge.Milliseconds())
	}
	line.Msg(string(n.Event))
}

// logBroken logs an attempt that broke off.
func (d *dispatcher) logBroken(n *relay.AttemptBroken) {
	d.metrics.recordBroken(n)
	d.log.Info().Str("id", n.ID).Str("route", n.Route).Str("upstream", n.Upstream).
		Bool("starting", n.Starting).Bool("disconnected", n.Disconnected).Str("parts", formatParts(n.SharedParts)).Str("detail", n.Detail).Msg("attempt_broken")
}

// formatParts returns the IDs of prompt parts, in hexadecimal and separated by
// commas.
func formatParts(parts []relay.PromptPart) string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// logQuarantine logs a change of the quarantine of a prompt part.
func (d *dispatcher) logQuarantine(change quarantine.Change, now clock.Instant) {
	d.log.Warn().Str("part", strconv.FormatUint(change.Part, 16)).Str("service", change.Service).
		Int("crashes", change.Crashes).Bool("own", change.Own).
		Int64("left_ms", max(change.Until.Sub(now), 0).Milliseconds()).Msg(string(change.Kind))
}

// countUsage counts a request for its customer in the current usage window.
func (d *dispatcher) countUsage(customer string, now clock.Instant) {
	if customer == "" || d.clockOffset == 0 {
		return
	}
	window := int64((time.Duration(now) + d.clockOffset) / d.usageWindow)
	if d.usageCounts[window] == nil {
		d.usageCounts[window] = make(usage.Counts)
	}
	d.usageCounts[window][customer]++
}

// handleDraining passes on that an upstream has said that it is leaving.
func (d *dispatcher) handleDraining(incarnation roster.Incarnation) {
	offerOrLog(d.cluster, clusterMessage(upstreamsDraining{incarnations: []roster.Incarnation{incarnation}}), d.log)
	d.draining = append(d.draining, incarnation)
	d.publishDraining()
}

// publishDraining tells the watch duty what it does not know yet. If its ring is
// full, that is done again with the next statistics.
func (d *dispatcher) publishDraining() {
	if len(d.draining) > 0 && d.watch.Offer(watchMessage{draining: d.draining, source: roster.SourceAnswer}) == nil {
		d.draining = nil
	}
}

// logPause logs that an upstream wants no requests for some time.
func (d *dispatcher) logPause(n relay.UpstreamPaused) {
	if n.Ignored {
		d.log.Warn().Str("upstream", n.Upstream).Msg("upstream_pause_ignored")
		return
	}
	d.metrics.paused.Inc()
	d.log.Info().Str("upstream", n.Upstream).Int64("for_ms", n.For.Milliseconds()).Msg("upstream_paused")
}
