package controller

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// publish passes the configuration to the other processes and the fleet duty,
// unless they already have it. If a ring is full, the next snapshot of the
// fleet duty triggers another attempt.
func (p *planner) publish() {
	configuration := p.head.Configuration
	version := configuration.Version
	if p.publishedVersion < version && p.publisher.PublishConfiguration(&configuration) == nil {
		p.publishedVersion = version
	}
	if p.fleet.version < version {
		_ = p.fleetInbox.Offer(fleetEvent{configuration: &configuration})
	}
	if version > 0 {
		// The reply updates the versions of the processes, which the status shows.
		_ = p.publisher.Await(version, 0, p.rollout)
	}
}

// onConfirmed delays the response until all processes have the version.
func (p *planner) onConfirmed(c *command, confirmation *plan.Confirmation) {
	p.counters.confirmations.Inc()
	p.log.Info().Str("plan", c.Plan).Str("operator", confirmation.By).Uint64("version", confirmation.Version).Msg("plan_confirmed")
	p.pending = append(p.pending, pendingConfirmation{
		requestID:    c.requestID,
		confirmation: *confirmation,
		deadline:     p.clock.Now().Add(c.Wait),
		missing:      p.processes.lacking(confirmation.Version),
	})
	// If the call fails, the deadline ends the wait.
	_ = p.publisher.Await(confirmation.Version, c.Wait, p.rollout)
}

// onProgress handles a report of which processes have a version. A process with
// a later version counts as having the earlier ones.
func (p *planner) onProgress(progress *spread.Progress) {
	p.processes.recordProgress(progress)
	kept := p.pending[:0]
	for _, w := range p.pending {
		if progress.Version >= w.confirmation.Version && len(progress.Missing) == 0 && progress.Settled {
			p.respondConfirmed(w, nil, true)
			continue
		}
		if progress.Version == w.confirmation.Version {
			w.missing = progress.Missing
			w.isSettled = progress.Settled
		}
		kept = append(kept, w)
	}
	p.pending = kept
}

// expirePending responds to the confirmations whose deadline has passed.
func (p *planner) expirePending() {
	now := p.clock.Now()
	kept := p.pending[:0]
	for _, w := range p.pending {
		if w.deadline.After(now) {
			kept = append(kept, w)
			continue
		}
		p.respondConfirmed(w, w.missing, w.isSettled && len(w.missing) == 0)
	}
	p.pending = kept
}

func (p *planner) respondConfirmed(w pendingConfirmation, missing []string, everywhere bool) {
	p.respond(commandResult{requestID: w.requestID, status: http.StatusOK, body: operator.ConfirmResult{
		Confirmation: w.confirmation,
		AllReported:  everywhere,
		Pending:      p.processes.statuses(missing),
	}})
}

func (p *planner) nextDeadline() time.Duration {
	wait := idleTimeout
	for _, w := range p.pending {
		wait = min(wait, w.deadline.Sub(p.clock.Now()))
	}
	return max(wait, 0)
}
