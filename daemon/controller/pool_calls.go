package controller

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// carryOut calls the cloud for what the saved ledger orders.
func (k *poolKeeper) carryOut() {
	for _, h := range k.saved.Ordered() {
		k.start(h)
	}
	for _, h := range k.saved.Ending() {
		k.fleet.view.MarkLeaving(h.Instance, h.EndAt)
	}
	for _, h := range k.saved.DueToEnd(k.fleet.now()) {
		k.end(h)
	}
}

// mayCall reports whether a call may be made now, and notes it.
func (k *poolKeeper) mayCall(name string) bool {
	now := k.fleet.clock.Now()
	if k.open[name] || now.Before(k.retryAt[name]) || !k.fleet.lease.grant().isValid(now) {
		return false
	}
	k.open[name] = true
	return true
}

// again lets a call be made later whose outcome is unknown.
func (k *poolKeeper) again(name string) {
	delete(k.open, name)
	k.retryAt[name] = k.fleet.clock.Now().Add(callRetry)
}

func (k *poolKeeper) start(h place.Holding) {
	if !k.mayCall(h.Token) {
		return
	}
	request := StartRequest{Token: h.Token, Member: k.member, Pool: k.pool, Option: h.Option}
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.cloud.Start(request, func(i fleet.Instance, err error) {
			resume(func() { k.started(h, i, err) })
		})
	})
	if err != nil {
		k.again(h.Token)
	}
}

func (k *poolKeeper) started(h place.Holding, i fleet.Instance, err error) {
	f := k.fleet
	var refused *StartRefusedError
	switch {
	case err == nil:
		f.counters.started.Inc()
		f.backoff.RecordSuccess(h.Option)
		f.view.AddStarted(i, f.clock.Now())
		k.outcomes = append(k.outcomes, outcome{token: h.Token, instance: i.ID})
		f.log.Info().Str("instance", i.ID).Str("pool", k.pool).Str("failure_domain", h.FailureDomain).
			Str("class", h.MachineClass).Bool("reclaimable", h.Reclaimable).Msg("instance_started")
	case errors.As(err, &refused):
		f.counters.rejected.Inc()
		f.backoff.RecordRefusal(h.Option, f.clock.Now())
		k.outcomes = append(k.outcomes, outcome{token: h.Token})
		f.log.Warn().Str("pool", k.pool).Str("failure_domain", h.FailureDomain).Str("class", h.MachineClass).
			Bool("reclaimable", h.Reclaimable).Str("cause", err.Error()).Msg("start_refused")
	default:
		k.again(h.Token)
	}
}

func (k *poolKeeper) end(h place.Holding) {
	if !k.mayCall(h.Instance) {
		return
	}
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.cloud.End(h.Instance, func(err error) {
			resume(func() { k.hasEnded(h, err) })
		})
	})
	if err != nil {
		k.again(h.Instance)
	}
}

func (k *poolKeeper) hasEnded(h place.Holding, err error) {
	if err != nil {
		k.again(h.Instance)
		return
	}
	k.fleet.counters.ended.Inc()
	k.fleet.view.MarkEnded(h.Instance)
	k.outcomes = append(k.outcomes, outcome{instance: h.Instance, ended: true})
	k.fleet.log.Info().Str("instance", h.Instance).Str("pool", k.pool).Msg("instance_ended")
}
