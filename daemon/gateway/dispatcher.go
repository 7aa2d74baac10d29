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
	// longestTick bounds the time between two looks at the deadlines.
	longestTick = time.Second
	// cancelTimeout bounds the call that cancels an attempt at an engine.
	cancelTimeout = 2 * time.Second
)

// dispatcher is the duty that owns all requests. Decisions are the core's; the
// duty carries them out.
type dispatcher struct {
	inbox    *ring.Ring[dispatchMessage]
	delivery *ring.Ring[deliveryMessage]
	core     *dispatch.Core
	upstream *httpc.Client
	table    table
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metrics
	calls    map[dispatch.StreamRef]*httpc.Call
	counted  clock.Instant
	handover *handover
	probe    *ring.Ring[probeMessage]
}

func (d *dispatcher) run() error {
	for {
		wait := d.core.NextTick(d.clock.Now(), longestTick)
		m, ok, err := d.inbox.TakeUntil(wait)
		if err != nil {
			return nil
		}
		now := d.clock.Now()
		if ok {
			d.handle(m, now)
		} else {
			d.core.Tick(now)
			d.handover.tick(now)
		}
		d.carryOut(now)
	}
}

func (d *dispatcher) handle(m dispatchMessage, now clock.Instant) {
	switch m := m.(type) {
	case arrive:
		d.core.Arrive(m.arrival, now)
	case resume:
		d.core.Resume(m.handle, m.id, m.from, now)
	case cancel:
		d.core.Cancel(m.handle, m.id, now)
	case detached:
		d.core.CallersGone(m.id, now)
	case tokens:
		d.piece(m.ref, m.tokens, now)
	case completed:
		d.piece(m.ref, m.rest, now)
		delete(d.calls, m.ref)
		d.core.Completed(m.ref, m.usage, now)
	case replied:
		delete(d.calls, m.ref)
		d.core.Replied(m.ref, m.reply, now)
	case failed:
		d.piece(m.ref, m.rest, now)
		delete(d.calls, m.ref)
		d.core.Failed(m.ref, m.failure, now)
	case exported:
		d.core.Exported(m.ref, m.cache, now)
	case imported:
		d.core.Imported(m.ref, m.handle, now)
	case kvFailed:
		d.kvFailed(m, now)
	case written:
		d.core.RowsWritten(m.id, m.serial, m.err, now)
	case readResult:
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
	case leave:
		d.core.Drain()
	case handOver:
		d.core.HandOver(now)
	case peerUp:
		d.handover.up(m.peer)
	case peerDown:
		d.handover.down(m.peer, now)
	case takeOver:
		d.handover.take(m, now)
	case handedOver:
		d.handover.answered(m, now)
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
	// Without room the probe goes on with its present targets until the next
	// change.
	_ = d.probe.Offer(probeMessage{targets: d.core.RoutedInstances()})
}

// timeLeft is how long a leaving instance still runs, by the wall clock.
func timeLeft(instance fleet.Instance) (time.Duration, bool) {
	if instance.Ends.IsZero() {
		return 0, false
	}
	return time.Until(instance.Ends), true
}

func (d *dispatcher) piece(ref dispatch.StreamRef, t engine.Tokens, now clock.Instant) {
	if t.Count > 0 {
		d.core.PieceReceived(ref, t.First, t.Count, t.Text, now)
	}
}

// carryOut does what the core has decided, until nothing is left.
func (d *dispatcher) carryOut(now clock.Instant) {
	for actions := d.core.Actions(); len(actions) > 0; actions = d.core.Actions() {
		for _, a := range actions {
			d.act(a, now)
		}
	}
	if now.Sub(d.counted) >= longestTick {
		d.counted = now
		d.metrics.set(d.core.Counts())
	}
}

func (d *dispatcher) act(a dispatch.Action, now clock.Instant) {
	switch a := a.(type) {
	case dispatch.Accept:
		_ = d.delivery.OfferReserved(acceptCaller{handle: a.Handle, id: a.ID})
	case dispatch.Attach:
		d.lastWord(attachCaller{handle: a.Handle, id: a.ID, from: a.From})
	case dispatch.Refuse:
		d.lastWord(refuseCaller{handle: a.Handle, refusal: a.Refusal})
	case dispatch.ConfirmCancel:
		d.lastWord(confirmCancel{handle: a.Handle})
	case dispatch.Deliver:
		d.deliver(a)
	case dispatch.Finish:
		_ = d.delivery.OfferReserved(finishAnswer{id: a.ID, pieces: a.Pieces, summary: a.Summary})
	case dispatch.Redirect:
		_ = d.delivery.OfferReserved(moveAnswer{id: a.ID, address: a.Address})
	case dispatch.StartAnswer:
		_ = d.delivery.OfferReserved(adoptAnswer{id: a.ID, pieces: a.Pieces})
	case dispatch.RestoreAnswer:
		// Without room the callers are cut off, and ask again.
		_ = d.delivery.Offer(recallAnswer{id: a.ID, pieces: a.Pieces, summary: a.Summary})
	case dispatch.Forget:
		// An answer that is kept for longer than needed is dropped by its age.
		_ = d.delivery.Offer(forgetAnswer{id: a.ID})
	default:
		d.callOut(a, now)
	}
}

// lastWord gives a caller the message that ends dispatch's part for it, and
// frees the slot that the end of an answer would have taken.
func (d *dispatcher) lastWord(m deliveryMessage) {
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

func (d *dispatcher) callOut(a dispatch.Action, now clock.Instant) {
	switch a := a.(type) {
	case dispatch.Send:
		d.send(&a, now)
	case dispatch.Reattach:
		call := engine.NewReattachCall(&a, a.Deadline.Sub(now), &receiver{ref: a.Ref, inbox: d.inbox})
		d.start(a.Ref, call, now)
	case dispatch.Abort:
		d.abort(&a)
	case dispatch.Export:
		d.export(&a, now)
	case dispatch.Import:
		d.importCache(&a, now)
	case dispatch.HandOver:
		d.handover.offer(&a, now)
	case dispatch.TakeOverResult:
		d.handover.tookOver(a)
	case dispatch.Detach:
		d.detach(a.Ref)
	case dispatch.WriteRows:
		d.write(&a, now)
	case dispatch.ReadRow:
		d.read(&a, now)
	case dispatch.EmitEvent:
		d.note(&a)
	}
}

func (d *dispatcher) send(a *dispatch.Send, now clock.Instant) {
	call, err := engine.NewCall(a, a.Deadline.Sub(now), &receiver{ref: a.Ref, inbox: d.inbox})
	if err != nil {
		d.core.Failed(a.Ref, dispatch.Failure{Kind: dispatch.NotSent, Detail: err.Error()}, now)
		return
	}
	if d.core.MaySend(a.Ref, d.clock.Now()) {
		d.start(a.Ref, call, now)
	}
}

// start begins a call after a slot is reserved for the end of its answer.
func (d *dispatcher) start(ref dispatch.StreamRef, call *httpc.Call, now clock.Instant) {
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

// abort ends the connection and tells the engine, which otherwise goes on for a
// caller that may come back.
func (d *dispatcher) abort(a *dispatch.Abort) {
	d.detach(a.Ref)
	_ = d.upstream.Start(engine.NewCancelCall(a, cancelTimeout))
}

// detach ends the connection of an attempt.
func (d *dispatcher) detach(ref dispatch.StreamRef) {
	if call := d.calls[ref]; call != nil {
		delete(d.calls, ref)
		_ = d.upstream.Cancel(call)
	}
}

func (d *dispatcher) note(a *dispatch.EmitEvent) {
	d.metrics.note(a.Event)
	d.log.Info().Str("customer", a.ID.Customer).Str("key", a.ID.Key).Str("upstream", a.Upstream).
		Int("attempt", a.Attempt).Str("detail", a.Detail).Msg(string(a.Event))
}
