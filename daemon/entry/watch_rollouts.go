package entry

import (
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

// applyRollouts takes over the orders of roll-outs.
func (w *watch) applyRollouts(p rows.Page, isList bool, now clock.Instant) {
	if w.rollouts.Apply(w.readingOf(p, isList), now) {
		w.rolloutsChanged = true
		w.logRollouts()
	}
}

// readingOf returns what a page tells of the orders of roll-outs.
func (w *watch) readingOf(p rows.Page, isList bool) rollout.Reading {
	reading := rollout.Reading{Timeline: p.Timeline, IsList: isList}
	for _, r := range p.Rows {
		service, isOrder := strings.CutPrefix(r.Key.Sort, served.RolloutPrefix)
		if !isOrder {
			continue
		}
		if r.Removed {
			reading.Removed = append(reading.Removed, service)
			continue
		}
		order, err := served.DecodeRollout(service, r.Value, rollout.Revision(p.Timeline, r.Version))
		if err != nil {
			w.log.Warn().Str("service", service).Str("cause", err.Error()).Msg("rollout_ignored")
			reading.Invalid = append(reading.Invalid, service)
			continue
		}
		reading.Orders = append(reading.Orders, order)
	}
	return reading
}

func (w *watch) logRollouts() {
	for _, o := range w.rollouts.Orders() {
		w.log.Info().Str("service", o.Service).Str("to", o.To).Int64("duration_ms", o.Duration.Milliseconds()).
			Uint64("order", o.Revision).Msg("rollout_ordered")
	}
}

// publishRollouts hands the orders to dispatch and to the cluster duty.
func (w *watch) publishRollouts(now clock.Instant) {
	if w.rollouts.Expire(now) {
		w.rolloutsChanged = true
		w.logRollouts()
	}
	if w.rolloutsChanged && w.dispatch.Offer(setRollouts{orders: w.rollouts.Orders()}) == nil {
		w.rolloutsChanged, w.rolloutsUnplanned = false, true
	}
	if w.rolloutsUnplanned && w.cluster.Offer(setRollouts{orders: w.rollouts.Orders()}) == nil {
		w.rolloutsUnplanned = false
	}
}
