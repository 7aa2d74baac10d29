package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/caller"
	"github.com/sycamorecourse/sycamorecourse/platform/upstream"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

const (
	// fullRetry is when a caller may come back after a ring was full.
	fullRetry = 500 * time.Millisecond
	// tallyEvery is the time between two reports of counts to the cluster duty.
	tallyEvery = 500 * time.Millisecond
	// sendWithin bounds the time from the choice of an upstream to the first byte
	// that goes there.
	sendWithin = 400 * time.Millisecond
)

// dispatcher is the duty that owns all requests and their answers. Decisions are
// the core's; the duty carries them out.
type dispatcher struct {
	inbox    *ring.Ring[dispatchMessage]
	cluster  *ring.Ring[clusterMessage]
	upstream *httpc.Client
	core     *relay.Core
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metrics

	requests  map[relay.Handle]*openRequest
	exchanges map[*httpd.Exchange]relay.Handle
	last      relay.Handle
	wrapUp    bool

	// ahead is how far true time is ahead of the steady clock; 0 until known.
	ahead   time.Duration
	length  time.Duration
	counted map[int64]usage.Counts
	told    clock.Instant
}

func (d *dispatcher) run() error {
	for {
		now := d.clock.Now()
		m, ok, err := d.inbox.TakeUntil(d.core.NextTick(now, tallyEvery))
		if err != nil {
			return nil
		}
		now = d.clock.Now()
		if ok {
			d.handle(m, now)
		}
		d.core.Tick(now)
		d.carryOut(now)
		d.tell(now)
	}
}

func (d *dispatcher) handle(m dispatchMessage, now clock.Instant) {
	switch m := m.(type) {
	case arrive:
		d.arrive(m, now)
	case *news:
		d.heard(m, now)
	case callerGone:
		d.gone(m.exchange, now)
	case setCatalog:
		d.core.Configure(m.catalog, now)
	case setUpstreams:
		d.core.SetUpstreams(m.list, now)
	case setBudget:
		d.core.SetRetryBudget(m.ratio, m.extra, m.window)
	case confirmView:
		d.core.ConfirmUpstreams(now)
	case setShares:
		d.core.SetDivision(m.division, now)
		d.core.SetReadyPeers(m.others)
	case setClock:
		d.ahead = m.ahead
	case wrapUp:
		d.wrapUp = true
	case stopTaking:
		d.core.Drain(m.until)
	case askOpen:
		open := d.core.OpenRequests()
		if m.isLast && open == 0 {
			d.core.Drain(now)
		}
		_ = m.reply.Offer(open)
	case dumpDispatch:
		_ = m.reply.Offer(report.Section{Name: "dispatch", State: d.core.Snapshot(now)})
	}
}

func (d *dispatcher) arrive(m arrive, now clock.Instant) {
	d.last++
	m.request.Handle = d.last
	d.requests[d.last] = newOpenRequest(m.exchange)
	d.exchanges[m.exchange] = d.last
	d.core.RequestArrived(m.request, now)
}

func (d *dispatcher) gone(x *httpd.Exchange, now clock.Instant) {
	if h, ok := d.exchanges[x]; ok {
		d.core.CallerGone(h, now)
	}
}

// heard hands an attempt's news to the core, in the order in which they came.
func (d *dispatcher) heard(m *news, now clock.Instant) {
	o := d.requests[m.ref.Handle]
	if o == nil {
		return
	}
	if m.header != nil {
		o.headers[m.ref.Attempt] = m.header
		o.status[m.ref.Attempt] = m.head.Status
		d.core.HeadReceived(m.ref, m.head, now)
	}
	if len(m.events.Bytes) > 0 {
		d.core.BodyReceived(m.ref, m.events, now)
	}
	if m.done || m.failure != nil {
		o.drop(m.ref)
	}
	if m.done {
		d.core.ResponseEnded(m.ref, now)
	}
	if m.failure != nil {
		d.core.AttemptFailed(m.ref, *m.failure, now)
	}
}

// carryOut does what the core has decided, until nothing is left.
func (d *dispatcher) carryOut(now clock.Instant) {
	for actions := d.core.Actions(); len(actions) > 0; actions = d.core.Actions() {
		for _, a := range actions {
			d.act(a, now)
		}
	}
}

func (d *dispatcher) act(a relay.Action, now clock.Instant) {
	switch a := a.(type) {
	case relay.Send:
		d.send(&a, now)
	case relay.Cancel:
		d.cancel(a.Ref)
	case relay.RecordUsage:
		d.count(a.Customer, now)
	case relay.LogEntry:
		d.note(&a)
	default:
		d.answer(a)
	}
}

// answer carries out what concerns the caller.
func (d *dispatcher) answer(a relay.Action) {
	switch a := a.(type) {
	case relay.StartStream:
		o := d.requests[a.Ref.Handle]
		d.lastOf(o.exchange)
		d.written(o, o.exchange.StartStream(o.status[a.Ref.Attempt], o.headers[a.Ref.Attempt]))
	case relay.WriteStream:
		o := d.requests[a.Handle]
		d.written(o, o.exchange.WriteStream(a.Bytes))
	case relay.EndStream:
		o := d.close(a.Handle)
		d.written(o, o.exchange.EndStream())
	case relay.Reply:
		o := d.close(a.Ref.Handle)
		d.lastOf(o.exchange)
		d.written(o, o.exchange.Reply(o.status[a.Ref.Attempt], o.headers[a.Ref.Attempt], a.Body))
	case relay.Refuse:
		o := d.close(a.Handle)
		d.lastOf(o.exchange)
		d.written(o, caller.Refuse(o.exchange, a.Refusal))
	case relay.Abort:
		o := d.close(a.Handle)
		o.exchange.Abort()
	}
}

func (d *dispatcher) lastOf(x *httpd.Exchange) {
	if d.wrapUp {
		x.DisableKeepAlive()
	}
}

// written logs an answer that could not be written. The end of its connection
// comes as news of its own.
func (d *dispatcher) written(o *openRequest, err error) {
	if err != nil {
		d.log.Debug().Str("caller", o.exchange.Remote).Str("cause", err.Error()).Msg("caller_gone")
	}
}

// close forgets a request after its last action.
func (d *dispatcher) close(h relay.Handle) *openRequest {
	o := d.requests[h]
	delete(d.exchanges, o.exchange)
	return o
}

// send begins a call after a slot is reserved for the end of its answer.
func (d *dispatcher) send(a *relay.Send, now clock.Instant) {
	o := d.requests[a.Ref.Handle]
	r := &receiver{ref: a.Ref, streams: a.Streaming, inbox: d.inbox}
	call := upstream.NewCall(o.exchange, a, r)
	call.NotAfter = now.Add(min(sendWithin, a.Timeout))
	if err := d.inbox.Reserve(); err != nil {
		d.core.AttemptFailed(a.Ref, relay.Failure{NotSent: true, Detail: err.Error()}, now)
		return
	}
	if err := d.upstream.Start(call); err != nil {
		d.inbox.Release()
		d.core.AttemptFailed(a.Ref, relay.Failure{NotSent: true, Detail: err.Error()}, now)
		return
	}
	o.calls[a.Ref.Attempt] = call
}

// cancel ends the connection of an attempt.
func (d *dispatcher) cancel(ref relay.AttemptRef) {
	o := d.requests[ref.Handle]
	if o == nil {
		return
	}
	call := o.calls[ref.Attempt]
	if call == nil {
		return
	}
	o.drop(ref)
	if err := d.upstream.Cancel(call); err != nil {
		d.log.Warn().Str("cause", err.Error()).Msg("cancel_missed")
	}
}

// note logs a decision; the end of a request is the last that is heard of it.
func (d *dispatcher) note(n *relay.LogEntry) {
	d.metrics.note(n)
	if n.Event == relay.RequestEnded {
		if o := d.requests[n.Handle]; o != nil {
			delete(d.requests, n.Handle)
			delete(d.exchanges, o.exchange)
		}
	}
	d.log.Info().Str("id", n.ID).Str("route", n.Route).Str("customer", n.Customer).
		Str("upstream", n.Upstream).Int("attempts", n.Attempts).Str("reason", string(n.Reason)).
		Bool("not_run", n.NotRun).Int("status", n.Status).
		Int64("first_ms", n.TimeToFirstEvent.Milliseconds()).Int64("took_ms", n.Elapsed.Milliseconds()).
		Int64("predicted_ms", n.PredictedFirstEvent.Milliseconds()).Int("cached", n.CachedTokens).Int("open", n.Open).
		Uint64("config", n.ConfigVersion).Int64("view_age_ms", n.UpstreamListAge.Milliseconds()).
		Str("detail", n.Detail).Msg(string(n.Event))
}

// count adds a request to the usage window of true time.
func (d *dispatcher) count(customer string, now clock.Instant) {
	if customer == "" || d.ahead == 0 {
		return
	}
	window := int64((time.Duration(now) + d.ahead) / d.length)
	if d.counted[window] == nil {
		d.counted[window] = make(usage.Counts)
	}
	d.counted[window][customer]++
}

// tell gives the counts since the last time to the cluster duty. Without room
// there they go with the next ones.
func (d *dispatcher) tell(now clock.Instant) {
	if now.Sub(d.told) < tallyEvery {
		return
	}
	d.told = now
	d.metrics.set(d.core)
	if d.cluster.Offer(tallied{counts: d.counted, demand: d.core.Demand(now), loads: d.core.Loads(now)}) == nil {
		d.counted = make(map[int64]usage.Counts)
	}
}
