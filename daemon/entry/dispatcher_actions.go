package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/caller"
	"github.com/sycamorecourse/sycamorecourse/platform/upstream"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// runActions carries out the core's actions. An action that fails can cause new
// ones, so it repeats until there are none.
func (d *dispatcher) runActions(now clock.Instant) {
	for actions := d.core.Actions(); len(actions) > 0; actions = d.core.Actions() {
		for _, a := range actions {
			d.runAction(a, now)
		}
	}
}

func (d *dispatcher) runAction(a relay.Action, now clock.Instant) {
	switch a := a.(type) {
	case relay.Send:
		d.send(&a, now)
	case relay.Cancel:
		d.cancel(a.Ref)
	case relay.AskHolder:
		d.askHolder(a, now)
	case relay.RecordUsage:
		d.countUsage(a.Customer, now)
	case relay.LogEntry:
		d.logRequest(&a)
	case relay.QuarantineChanged:
		d.logQuarantine(a.Change, now)
	case relay.UpstreamDraining:
		d.handleDraining(a.Incarnation)
	case relay.UpstreamPaused:
		d.logPause(a)
	case relay.AttemptBroken:
		d.logBroken(&a)
	default:
		d.respond(a)
	}
}

// respond carries out the actions that send something to the caller.
func (d *dispatcher) respond(a relay.Action) {
	switch a := a.(type) {
	case relay.StartStream:
		o := d.requests[a.Ref.Handle]
		d.closeIfStopping(o.exchange)
		d.logWriteError(o, o.exchange.StartStream(o.statuses[a.Ref.Attempt], o.headers[a.Ref.Attempt]))
	case relay.WriteStream:
		o := d.requests[a.Handle]
		d.logWriteError(o, o.exchange.WriteStream(a.Bytes))
	case relay.EndStream:
		o := d.finish(a.Handle)
		d.logWriteError(o, o.exchange.EndStream())
	case relay.Reply:
		o := d.finish(a.Ref.Handle)
		d.closeIfStopping(o.exchange)
		d.logWriteError(o, o.exchange.Reply(o.statuses[a.Ref.Attempt], o.headers[a.Ref.Attempt], a.Body))
	case relay.Refuse:
		o := d.finish(a.Handle)
		d.closeIfStopping(o.exchange)
		d.logWriteError(o, caller.Refuse(o.exchange, a.Refusal))
	case relay.Abort:
		o := d.finish(a.Handle)
		o.exchange.Abort()
	}
}

// closeIfStopping ends the connection of an exchange with it while this gateway stops. A
// request that has already arrived behind it is answered first.
func (d *dispatcher) closeIfStopping(x *httpd.Exchange) {
	if d.closesConnections && !x.IsFollowed() {
		x.DisableKeepAlive()
	}
}

// logWriteError logs a response that could not be written. The server reports the
// end of the connection separately, as callerGone.
func (d *dispatcher) logWriteError(o *openRequest, err error) {
	if err != nil {
		d.log.Debug().Str("caller", o.exchange.Remote).Str("cause", err.Error()).Msg("caller_gone")
	}
}

// finish stops tracking a request's exchange, before the last action for it. The
// request itself is removed when the core logs its end.
func (d *dispatcher) finish(h relay.Handle) *openRequest {
	o := d.requests[h]
	delete(d.exchanges, o.exchange)
	return o
}

// send starts the call of an attempt. It first reserves a slot in the inbox, so
// that the end of the response can always be delivered.
func (d *dispatcher) send(a *relay.Send, now clock.Instant) {
	o := d.requests[a.Ref.Handle]
	r := &receiver{ref: a.Ref, streaming: a.Streaming, after: a.LastEventID, inbox: d.inbox, budget: d.budget}
	call := upstream.NewCall(o.exchange, a, r)
	call.OnSent = r.setSent
	call.NotAfter = now.Add(min(sendTimeout, a.Timeout))
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

// cancel closes the connection of an attempt.
func (d *dispatcher) cancel(ref relay.AttemptRef) {
	o := d.requests[ref.Handle]
	if o == nil {
		return
	}
	call := o.calls[ref.Attempt]
	if call == nil {
		return
	}
	o.forgetAttempt(ref)
	if err := d.upstream.Cancel(call); err != nil {
		d.log.Warn().Str("cause", err.Error()).Msg("cancel_missed")
	}
}
