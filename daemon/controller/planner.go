package controller

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

const (
	// plannerCapacity bounds the queued commands and updates and the slots
	// reserved for results.
	plannerCapacity = 256
	// idleTimeout is how long the planner blocks on its inbox when no confirmation
	// is pending.
	idleTimeout = time.Hour
)

// planner is the duty that makes plans and tracks confirmations until all
// processes have the new version. It reads and writes through the store duty.
type planner struct {
	log       zerolog.Logger
	inbox     *ring.Ring[plannerEvent]
	operators *ring.Ring[operatorsEvent]
	store     *ring.Ring[storeEvent]
	publisher publisher
	// fleetInbox is the ring of the fleet duty.
	fleetInbox *ring.Ring[fleetEvent]
	clock      clock.Clock
	now        func() time.Time
	settings   *Settings
	counters   *counters

	// rollout receives the replies to publisher.Await.
	rollout *ring.Ring[spread.Progress]

	head             plan.Head
	publishedVersion uint64
	fleet            fleetSnapshot
	processes        *processes
	commands         map[uint64]*command
	pending          []pendingConfirmation
}

func newPlanner(s *Settings, log zerolog.Logger, clk clock.Clock, now func() time.Time) *planner {
	return &planner{
		log:       log,
		inbox:     ring.New[plannerEvent]("planner", plannerCapacity),
		clock:     clk,
		now:       now,
		settings:  s,
		processes: newProcesses(),
		commands:  make(map[uint64]*command),
	}
}

func (p *planner) run() error {
	for {
		e, ok, err := p.inbox.TakeUntil(p.nextDeadline())
		if err != nil {
			return nil
		}
		if ok {
			p.handle(e)
		}
		p.expirePending()
	}
}

func (p *planner) handle(e plannerEvent) {
	switch {
	case e.command != nil:
		p.dispatch(e.command)
	case e.result != nil:
		p.onStoreResult(e.result)
	case e.fleet != nil:
		p.fleet = *e.fleet
		p.publish()
	case e.processes != nil:
		p.processes.replace(e.processes.members)
	case e.progress != nil:
		p.onProgress(e.progress)
	case e.dump != nil:
		_ = e.dump.Offer(report.Section{Name: "planner", State: p.dump()})
	}
}

func (p *planner) dispatch(c *command) {
	switch c.Kind {
	case operator.MakePlan, operator.ShowIntent:
		p.requestStore(c, &storeRequest{kind: loadHead, requestID: c.requestID})
	case operator.ShowPlan:
		p.requestStore(c, &storeRequest{kind: loadPlan, requestID: c.requestID, planID: c.Plan})
	case operator.ListPlans:
		p.requestStore(c, &storeRequest{kind: listPlans, requestID: c.requestID})
	case operator.ConfirmPlan:
		p.requestStore(c, &storeRequest{kind: confirmPlan, requestID: c.requestID, planID: c.Plan, operator: c.Operator})
	case operator.ShowStatus:
		p.respond(commandResult{requestID: c.requestID, status: http.StatusOK, body: p.status()})
	}
}

// requestStore sends a request to the store duty, after reserving a slot for
// its result.
func (p *planner) requestStore(c *command, r *storeRequest) {
	if err := p.inbox.Reserve(); err != nil {
		p.respond(commandResult{requestID: c.requestID, err: err})
		return
	}
	if err := p.store.Offer(storeEvent{request: r}); err != nil {
		p.inbox.Release()
		p.respond(commandResult{requestID: c.requestID, err: err})
		return
	}
	p.commands[c.requestID] = c
}

func (p *planner) onStoreResult(r *storeResult) {
	if r.head != nil {
		p.updateHead(r.head)
	}
	c, ok := p.commands[r.requestID]
	if !ok {
		return
	}
	delete(p.commands, r.requestID)
	if r.err != nil {
		p.fail(c, r.err)
		return
	}
	switch r.kind {
	case loadHead:
		p.onHead(c, r.head)
	case loadPlan:
		p.respond(commandResult{requestID: c.requestID, status: http.StatusOK, body: r.record})
	case listPlans:
		p.respond(commandResult{requestID: c.requestID, status: http.StatusOK, body: history(r.records)})
	case savePlan:
		p.counters.plans.Inc()
		p.log.Info().Str("plan", r.record.Plan.ID).Str("member", r.record.Plan.Document.Member).Msg("plan_made")
		p.respond(commandResult{requestID: c.requestID, status: http.StatusCreated, body: r.record.Plan})
	case confirmPlan:
		p.onConfirmed(c, r.record.Confirmed)
	}
}

func (p *planner) fail(c *command, err error) {
	if c.Kind == operator.ConfirmPlan {
		p.counters.confirmationsFailed.Inc()
		p.log.Warn().Str("plan", c.Plan).Str("operator", c.Operator).Str("cause", err.Error()).Msg("confirm_failed")
	}
	p.respond(commandResult{requestID: c.requestID, err: err})
}

// updateHead takes over a newer configuration and publishes it to all
// processes.
func (p *planner) updateHead(head *plan.Head) {
	if head.Configuration.Version <= p.head.Configuration.Version {
		return
	}
	p.head = *head
	p.publish()
	p.log.Info().Uint64("version", head.Configuration.Version).Str("plan", head.Configuration.Plan).Msg("configuration_in_force")
}

func (p *planner) onHead(c *command, head *plan.Head) {
	if c.Kind == operator.ShowIntent {
		p.respond(commandResult{requestID: c.requestID, status: http.StatusOK, body: head})
		return
	}
	made, err := plan.Make(plan.Input{
		Document:           c.Document,
		Head:               &head.Configuration,
		TotalMicrosPerHour: intent.Micros(p.settings.AgreedMicrosPerHour),
		Prices:             p.fleet.prices,
		Fleet:              p.fleet.instances,
		Now:                p.now(),
		Lifetime:           p.settings.PlanLifetime,
	})
	if err != nil {
		p.fail(c, err)
		return
	}
	p.requestStore(c, &storeRequest{kind: savePlan, requestID: c.requestID, plan: made})
}

func (p *planner) status() operator.Status {
	return operator.Status{
		Controller: p.settings.Instance,
		Version:    p.head.Configuration.Version,
		Processes:  p.processes.activeStatuses(),
		Pools:      append([]operator.PoolStatus{}, p.fleet.pools...),
		Leases:     append([]operator.LeaseStatus{}, p.fleet.leases...),
	}
}

// respond uses the slot that the operators duty reserved for the result of the
// command.
func (p *planner) respond(r commandResult) {
	_ = p.operators.OfferReserved(operatorsEvent{result: &r})
}

func (p *planner) dump() plannerDump {
	return plannerDump{
		Version:   p.head.Configuration.Version,
		Plan:      p.head.Configuration.Plan,
		Commands:  len(p.commands),
		Waiters:   len(p.pending),
		Prices:    len(p.fleet.prices),
		Instances: len(p.fleet.instances),
		Processes: p.processes.activeStatuses(),
	}
}

func history(records []plan.Record) operator.History {
	h := operator.History{Plans: make([]operator.PlanSummary, 0, len(records))}
	for i := range records {
		h.Plans = append(h.Plans, operator.SummarizePlan(&records[i]))
	}
	return h
}
