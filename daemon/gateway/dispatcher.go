package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

const (
	// maxTickInterval limits the time between two checks of the deadlines, and
	// is the interval at which the metrics are updated.
	maxTickInterval = time.Second
	// cancelTimeout limits the call that cancels an attempt at its engine.
	cancelTimeout = 2 * time.Second
)

// dispatcher is the duty that owns all requests. It passes events to the
// dispatch core, which makes all decisions, and executes the actions that the
// core returns.
type dispatcher struct {
	inbox          *ring.Ring[dispatchMessage]
	delivery       *ring.Ring[deliveryMessage]
	core           *dispatch.Core
	upstream       *httpc.Client
	table          table
	clock          clock.Clock
	log            zerolog.Logger
	metrics        *metrics
	calls          map[dispatch.StreamRef]*httpc.Call
	metricsUpdated clock.Instant
	handover       *handover
	probe          *ring.Ring[probeMessage]
}

func (d *dispatcher) run() error {
	for {
		wait := d.core.NextTick(d.clock.Now(), maxTickInterval)
		m, ok, err := d.inbox.TakeUntil(wait)
		if err != nil {
			return nil
		}
		now := d.clock.Now()
		if ok {
			d.handle(m, now)
		} else {
			d.core.Tick(now)
			d.handover.expireOffers(now)
		}
		d.executeActions(now)
	}
}

func (d *dispatcher) handle(m dispatchMessage, now clock.Instant) {
	switch m := m.(type) {
	case submitRequest:
		d.core.Arrive(m.arrival, now)
	case resumeAnswer:
		d.core.Resume(m.handle, m.id, m.from, now)
	case cancelRequest:
		d.core.Cancel(m.handle, m.id, now)
	case allCallersGone:
		d.core.CallersGone(m.id, now)
	case tokensReceived:
		d.receiveTokens(m.ref, m.tokens, now)
	case attemptCompleted:
		d.receiveTokens(m.ref, m.rest, now)
		delete(d.calls, m.ref)
		d.core.Completed(m.ref, m.usage, now)
	case serviceReplied:
		delete(d.calls, m.ref)
		d.core.Replied(m.ref, m.reply, now)
	case attemptFailed:
		d.receiveTokens(m.ref, m.rest, now)
		delete(d.calls, m.ref)
		d.core.Failed(m.ref, m.failure, now)
	case kvExported:
		d.core.Exported(m.ref, m.cache, now)
	case kvImported:
		d.core.Imported(m.ref, m.handle, now)
	case kvFailed:
		d.kvFailed(m, now)
	case rowsWritten:
		d.core.RowsWritten(m.id, m.serial, m.err, now)
	case rowRead:
		d.core.RowRead(m.id, m.serial, m.found, m.err, now)
	default:
		d.handleControl(m, now)
	}
}

func (d *dispatcher) handleControl(m dispatchMessage, now clock.Instant) {
	switch m := m.(type) {
	case loadReport:
		d.core.ReportLoad(m.instance, m.load, now)
	case fleetUpdate:
		d.update(m, now)
	case startDrain:
		d.core.Drain()
	case handOverRequests:
		d.core.HandOver(now)
	case peerUp:
		d.handover.addPeer(m.peer)
	case peerDown:
		d.handover.removePeer(m.peer, now)
	case handoverOffered:
		d.handover.takeOver(m, now)
	case handoverAnswered:
		d.handover.offerAnswered(m, now)
	case askIdle:
		_ = m.reply.Offer(d.core.IsIdle())
	case dumpDispatch:
		_ = m.reply.Offer(report.Section{Name: "dispatch", State: d.core.Snapshot(now)})
	}
}

func (d *dispatcher) update(m fleetUpdate, now clock.Instant) {
	if m.configuration != nil {
		d.core.Configure(m.configuration, now)
		d.log.Info().Uint64("version", m.configuration.Version).Msg("configuration_in_force")
	}
	if m.gateways > 0 {
		d.core.SetGatewayCount(m.gateways)
	}
	if len(m.upserts) > 0 {
		d.core.UpsertInstances(m.upserts, timeLeft, now)
	}
	if len(m.removed) > 0 {
		d.core.RemoveInstances(m.removed, now)
	}
	// If the ring is full, the probe keeps its old targets until the next
	// update.
	_ = d.probe.Offer(probeMessage{targets: d.core.RoutedInstances()})
}

// timeLeft returns how long a leaving instance keeps running, by the wall
// clock. It returns false if the end is not known.
func timeLeft(instance fleet.Instance) (time.Duration, bool) {
	if instance.Ends.IsZero() {
		return 0, false
	}
	return time.Until(instance.Ends), true
}

func (d *dispatcher) receiveTokens(ref dispatch.StreamRef, t engine.Tokens, now clock.Instant) {
	if t.Count > 0 {
		d.core.PieceReceived(ref, t.First, t.Count, t.Text, now)
	}
}

// executeActions executes the actions of the core until there are none:
// executing one may cause others. It also updates the metrics when that is
// due.
func (d *dispatcher) executeActions(now clock.Instant) {
	for actions := d.core.Actions(); len(actions) > 0; actions = d.core.Actions() {
		for _, a := range actions {
			d.execute(a, now)
		}
	}
	if now.Sub(d.metricsUpdated) >= maxTickInterval {
		d.metricsUpdated = now
		d.metrics.setCounts(d.core.Counts())
	}
}

func (d *dispatcher) execute(a dispatch.Action, now clock.Instant) {
	switch a := a.(type) {
	case dispatch.Accept:
		_ = d.delivery.OfferReserved(acceptCaller{handle: a.Handle, id: a.ID})
	case dispatch.Attach:
		d.offerFinal(attachCaller{handle: a.Handle, id: a.ID, from: a.From})
	case dispatch.Refuse:
		d.offerFinal(refuseCaller{handle: a.Handle, refusal: a.Refusal})
	case dispatch.ConfirmCancel:
		d.offerFinal(confirmCancel{handle: a.Handle})
	case dispatch.Deliver:
		d.deliver(a)
	case dispatch.Finish:
		_ = d.delivery.OfferReserved(finishAnswer{id: a.ID, pieces: a.Pieces, summary: a.Summary})
	case dispatch.Redirect:
		_ = d.delivery.OfferReserved(redirectCallers{id: a.ID, address: a.Address})
	case dispatch.StartAnswer:
		_ = d.delivery.OfferReserved(startAnswer{id: a.ID, pieces: a.Pieces})
	case dispatch.RestoreAnswer:
		// If the ring is full, the callers are disconnected and resume later.
		_ = d.delivery.Offer(restoreAnswer{id: a.ID, pieces: a.Pieces, summary: a.Summary})
	case dispatch.Forget:
		// An answer that is kept for longer than needed is dropped by its age.
		_ = d.delivery.Offer(forgetAnswer{id: a.ID})
	default:
		d.executeCall(a, now)
	}
}

// offerFinal sends delivery the last message that dispatch has for this caller
// alone, and releases the slot reserved for the end of its answer: the end of
// an answer is one message for all of its callers.
func (d *dispatcher) offerFinal(m deliveryMessage) {
	_ = d.delivery.OfferReserved(m)
	d.delivery.Release()
}

func (d *dispatcher) deliver(a dispatch.Deliver) {
	if len(a.Pieces) == 0 {
		return
	}
	if d.delivery.Offer(deliverPieces{id: a.ID, pieces: a.Pieces}) != nil {
		d.core.Undelivered(a.ID, a.Pieces[0].Index)
	}
}

func (d *dispatcher) executeCall(a dispatch.Action, now clock.Instant) {
	switch a := a.(type) {
	case dispatch.Send:
		d.send(&a, now)
	case dispatch.Reattach:
		call := engine.NewReattachCall(&a, a.Deadline.Sub(now), &receiver{ref: a.Ref, inbox: d.inbox})
		d.startCall(a.Ref, call, now)
	case dispatch.Abort:
		d.abort(&a)
	case dispatch.Export:
		d.exportKV(&a, now)
	case dispatch.Import:
		d.importKV(&a, now)
	case dispatch.HandOver:
		d.handover.offer(&a, now)
	case dispatch.TakeOverResult:
		d.handover.takeOverDone(a)
	case dispatch.Detach:
		d.detach(a.Ref)
	case dispatch.WriteRows:
		d.writeRows(&a, now)
	case dispatch.ReadRow:
		d.readRow(&a, now)
	case dispatch.EmitEvent:
		d.emitEvent(&a)
	}
}

func (d *dispatcher) send(a *dispatch.Send, now clock.Instant) {
	call, err := engine.NewCall(a, a.Deadline.Sub(now), &receiver{ref: a.Ref, inbox: d.inbox})
	if err != nil {
		d.core.Failed(a.Ref, dispatch.Failure{Kind: dispatch.NotSent, Detail: err.Error()}, now)
		return
	}
	if d.core.MaySend(a.Ref, d.clock.Now()) {
		d.startCall(a.Ref, call, now)
	}
}

// startCall starts the call of an attempt. It first reserves a slot for the
// message that ends the attempt.
func (d *dispatcher) startCall(ref dispatch.StreamRef, call *httpc.Call, now clock.Instant) {
	if err := d.inbox.Reserve(); err != nil {
		d.core.Failed(ref, dispatch.Failure{Kind: dispatch.NotSent, Detail: err.Error()}, now)
		return
	}
	if err := d.upstream.Start(call); err != nil {
		d.inbox.Release()
		d.core.Failed(ref, dispatch.Failure{Kind: dispatch.NotSent, Detail: err.Error()}, now)
		return
	}
	d.calls[ref] = call
}

// abort closes the connection of an attempt and cancels it at the engine,
// which would otherwise continue in case a client reattaches.
func (d *dispatcher) abort(a *dispatch.Abort) {
	d.detach(a.Ref)
	_ = d.upstream.Start(engine.NewCancelCall(a, cancelTimeout))
}

// detach closes the connection of an attempt without canceling it.
func (d *dispatcher) detach(ref dispatch.StreamRef) {
	if call := d.calls[ref]; call != nil {
		delete(d.calls, ref)
		_ = d.upstream.Cancel(call)
	}
}

func (d *dispatcher) emitEvent(a *dispatch.EmitEvent) {
	d.metrics.countEvent(a.Event)
	d.log.Info().Str("customer", a.ID.Customer).Str("key", a.ID.Key).Str("upstream", a.Upstream).
		Int("attempt", a.Attempt).Str("detail", a.Detail).Msg(string(a.Event))
}
