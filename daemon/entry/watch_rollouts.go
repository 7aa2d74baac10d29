package entry

import (
	"maps"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

// applyRollouts takes over the orders of roll-outs. One that can't be carried out is
// ignored, and an earlier one of the service stays in force.
func (w *watch) applyRollouts(p rows.Page, isList bool) {
	next := maps.Clone(w.rollouts)
	if isList || next == nil {
		next = make(map[string]rollout.Order)
	}
	for _, r := range p.Rows {
		service, isOrder := strings.CutPrefix(r.Key.Sort, served.RolloutPrefix)
		if !isOrder {
			continue
		}
		if r.Removed {
			delete(next, service)
			continue
		}
		order, err := served.DecodeRollout(service, r.Value, r.Version)
		if err != nil {
			w.log.Warn().Str("service", service).Str("cause", err.Error()).Msg("rollout_ignored")
			if known, ok := w.rollouts[service]; ok {
				next[service] = known
			}
			continue
		}
		next[service] = order
	}
	if maps.Equal(next, w.rollouts) {
		return
	}
	w.rollouts = next
	w.rolloutsChanged = true
	for _, o := range next {
		w.log.Info().Str("service", o.Service).Str("to", o.To).Int64("duration_ms", o.Duration.Milliseconds()).
			Uint64("order", o.Revision).Msg("rollout_ordered")
	}
}

// publishRollouts hands the orders to dispatch and to the cluster duty.
func (w *watch) publishRollouts() {
	if w.rolloutsChanged && w.dispatch.Offer(setRollouts{orders: w.rollouts}) == nil {
		w.rolloutsChanged, w.rolloutsUnplanned = false, true
	}
	if w.rolloutsUnplanned && w.cluster.Offer(setRollouts{orders: w.rollouts}) == nil {
		w.rolloutsUnplanned = false
	}
}
