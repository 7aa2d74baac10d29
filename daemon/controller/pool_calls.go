package controller

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// issueCalls makes the cloud calls for the starts and ends in the saved ledger.
func (p *poolReconciler) issueCalls() {
	for _, h := range p.saved.Ordered() {
		p.start(h)
	}
	for _, h := range p.saved.Ending() {
		p.fleet.view.MarkLeaving(h.Instance, h.EndAt)
	}
	for _, h := range p.saved.DueToEnd(p.fleet.now()) {
		p.end(h)
	}
}

// beginCall reports whether a call for this token or instance may be made now,
// and marks it as pending.
func (p *poolReconciler) beginCall(name string) bool {
	now := p.fleet.clock.Now()
	if p.pendingCalls[name] || now.Before(p.retryAt[name]) || !p.fleet.lease.grant().isValid(now) {
		return false
	}
	p.pendingCalls[name] = true
	return true
}

// scheduleRetry permits another call, after callRetryDelay, for one whose
// outcome is unknown.
func (p *poolReconciler) scheduleRetry(name string) {
	delete(p.pendingCalls, name)
	p.retryAt[name] = p.fleet.clock.Now().Add(callRetryDelay)
}

func (p *poolReconciler) start(h place.Holding) {
	if !p.beginCall(h.Token) {
		return
	}
	request := StartRequest{Token: h.Token, Member: p.member, Pool: p.pool, Option: h.Option}
	err := p.fleet.calls.begin(func(resume func(func())) {
		p.fleet.cloud.Start(request, func(i fleet.Instance, err error) {
			resume(func() { p.onStarted(h, i, err) })
		})
	})
	if err != nil {
		p.scheduleRetry(h.Token)
	}
}

func (p *poolReconciler) onStarted(h place.Holding, i fleet.Instance, err error) {
	f := p.fleet
	var refused *StartRefusedError
	switch {
	case err == nil:
		f.counters.starts.Inc()
		f.backoff.RecordSuccess(h.Option)
		f.view.AddStarted(i, f.clock.Now())
		p.outcomes = append(p.outcomes, outcome{token: h.Token, instance: i.ID})
		f.log.Info().Str("instance", i.ID).Str("pool", p.pool).Str("failure_domain", h.FailureDomain).
			Str("class", h.MachineClass).Bool("reclaimable", h.Reclaimable).Msg("instance_started")
	case errors.As(err, &refused):
		f.counters.startsRefused.Inc()
		f.backoff.RecordRefusal(h.Option, f.clock.Now())
		p.outcomes = append(p.outcomes, outcome{token: h.Token})
		f.log.Warn().Str("pool", p.pool).Str("failure_domain", h.FailureDomain).Str("class", h.MachineClass).
			Bool("reclaimable", h.Reclaimable).Str("cause", err.Error()).Msg("start_refused")
	default:
		p.scheduleRetry(h.Token)
	}
}

func (p *poolReconciler) end(h place.Holding) {
	if !p.beginCall(h.Instance) {
		return
	}
	err := p.fleet.calls.begin(func(resume func(func())) {
		p.fleet.cloud.End(h.Instance, func(err error) {
			resume(func() { p.onEnded(h, err) })
		})
	})
	if err != nil {
		p.scheduleRetry(h.Instance)
	}
}

func (p *poolReconciler) onEnded(h place.Holding, err error) {
	if err != nil {
		p.scheduleRetry(h.Instance)
		return
	}
	p.fleet.counters.ends.Inc()
	p.fleet.view.MarkEnded(h.Instance)
	p.outcomes = append(p.outcomes, outcome{instance: h.Instance, ended: true})
	p.fleet.log.Info().Str("instance", h.Instance).Str("pool", p.pool).Msg("instance_ended")
}
