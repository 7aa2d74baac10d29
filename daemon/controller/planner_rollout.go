package controller

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// publish passes the configuration on to the other processes and to the fleet
// duty, unless they have it. If a ring is full, the next news of the fleet duty
// leads here again.
func (p *planner) publish() {
	configuration := p.head.Configuration
	version := configuration.Version
	if p.published < version && p.followers.PublishConfiguration(&configuration) == nil {
		p.published = version
	}
	if p.fleet.version < version {
		_ = p.fleetInbox.Offer(fleetEvent{configuration: &configuration})
	}
	if version > 0 {
		// The answer shows in the status which processes have the version.
		_ = p.followers.Await(version, 0, p.rollout)
	}
}

// confirmed keeps the answer back until all processes have the version.
func (p *planner) confirmed(c *command, confirmation *plan.Confirmation) {
	p.counters.confirmed.Inc()
	p.log.Info().Str("plan", c.Plan).Str("operator", confirmation.By).Uint64("version", confirmation.Version).Msg("plan_confirmed")
	p.waiters = append(p.waiters, waiter{
		ticket:       c.ticket,
		confirmation: *confirmation,
		deadline:     p.clock.Now().Add(c.Wait),
		missing:      p.processes.without(confirmation.Version),
	})
	// Without an answer the deadline ends the wait.
	_ = p.followers.Await(confirmation.Version, c.Wait, p.rollout)
}

// progressed takes how far a version has come. A version is in force where a
// later one is.
func (p *planner) progressed(progress *spread.Progress) {
	p.processes.take(progress)
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if progress.Version >= w.confirmation.Version && len(progress.Missing) == 0 && progress.Settled {
			p.finishWait(w, nil, true)
			continue
		}
		if progress.Version == w.confirmation.Version {
			w.missing = progress.Missing
			w.isSettled = progress.Settled
		}
		kept = append(kept, w)
	}
	p.waiters = kept
}

// checkWaiters answers the confirmations whose wait is over.
func (p *planner) checkWaiters() {
	now := p.clock.Now()
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if w.deadline.After(now) {
			kept = append(kept, w)
			continue
		}
		p.finishWait(w, w.missing, w.isSettled && len(w.missing) == 0)
	}
	p.waiters = kept
}

func (p *planner) finishWait(w waiter, missing []string, everywhere bool) {
	p.answer(answer{ticket: w.ticket, status: http.StatusOK, body: operator.ConfirmResult{
		Confirmation: w.confirmation,
		AllReported:  everywhere,
		Pending:      p.processes.named(missing),
	}})
}

func (p *planner) nextDeadline() time.Duration {
	wait := idleWait
	for _, w := range p.waiters {
		wait = min(wait, w.deadline.Sub(p.clock.Now()))
	}
	return max(wait, 0)
}
