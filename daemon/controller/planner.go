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
	// plannerCapacity has room for the answers that are reserved, the commands
	// and the news.
	plannerCapacity = 256
	// idleWait is how long the planner parks when no confirmation waits.
	idleWait = time.Hour
)

// planner is the duty that makes plans and sees confirmations through. It asks
// the store duty for all that is kept.
type planner struct {
	log       zerolog.Logger
	inbox     *ring.Ring[plannerEvent]
	operators *ring.Ring[operatorsEvent]
	store     *ring.Ring[storeEvent]
	followers followers
	// fleetInbox is the ring of the fleet duty.
	fleetInbox *ring.Ring[fleetEvent]
	clock      clock.Clock
	now        func() time.Time
	settings   *Settings
	counters   *counters

	// rollout takes the answers of the followers.
	rollout *ring.Ring[spread.Progress]

	head      plan.Head
	published uint64
	fleet     fleetNews
	processes *processes
	commands  map[uint64]*command
	waiters   []waiter
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
		p.checkWaiters()
	}
}

func (p *planner) handle(e plannerEvent) {
	switch {
	case e.command != nil:
		p.begin(e.command)
	case e.result != nil:
		p.stored(e.result)
	case e.fleet != nil:
		p.fleet = *e.fleet
		p.publish()
	case e.processes != nil:
		p.processes.set(e.processes.members)
	case e.progress != nil:
		p.progressed(e.progress)
	case e.dump != nil:
		_ = e.dump.Offer(report.Section{Name: "planner", State: p.dump()})
	}
}

func (p *planner) begin(c *command) {
	switch c.Kind {
	case operator.MakePlan, operator.ShowIntent:
		p.ask(c, &storeRequest{kind: loadHead, ticket: c.ticket})
	case operator.ShowPlan:
		p.ask(c, &storeRequest{kind: loadPlan, ticket: c.ticket, id: c.Plan})
	case operator.ListPlans:
		p.ask(c, &storeRequest{kind: listPlans, ticket: c.ticket})
	case operator.ConfirmPlan:
		p.ask(c, &storeRequest{kind: confirmPlan, ticket: c.ticket, id: c.Plan, by: c.Operator})
	case operator.ShowStatus:
		p.answer(answer{ticket: c.ticket, status: http.StatusOK, body: p.status()})
	}
}

// ask offers a request to the store and reserves the slot of its answer.
func (p *planner) ask(c *command, r *storeRequest) {
	if err := p.inbox.Reserve(); err != nil {
		p.answer(answer{ticket: c.ticket, err: err})
		return
	}
	if err := p.store.Offer(storeEvent{request: r}); err != nil {
		p.inbox.Release()
		p.answer(answer{ticket: c.ticket, err: err})
		return
	}
	p.commands[c.ticket] = c
}

func (p *planner) stored(r *storeResult) {
	if r.head != nil {
		p.learn(r.head)
	}
	c, ok := p.commands[r.ticket]
	if !ok {
		return
	}
	delete(p.commands, r.ticket)
	if r.err != nil {
		p.failed(c, r.err)
		return
	}
	switch r.kind {
	case loadHead:
		p.headLoaded(c, r.head)
	case loadPlan:
		p.answer(answer{ticket: c.ticket, status: http.StatusOK, body: r.record})
	case listPlans:
		p.answer(answer{ticket: c.ticket, status: http.StatusOK, body: history(r.records)})
	case savePlan:
		p.counters.plans.Inc()
		p.log.Info().Str("plan", r.record.Plan.ID).Str("member", r.record.Plan.Document.Member).Msg("plan_made")
		p.answer(answer{ticket: c.ticket, status: http.StatusCreated, body: r.record.Plan})
	case confirmPlan:
		p.confirmed(c, r.record.Confirmed)
	}
}

func (p *planner) failed(c *command, err error) {
	if c.Kind == operator.ConfirmPlan {
		p.counters.refused.Inc()
		p.log.Warn().Str("plan", c.Plan).Str("operator", c.Operator).Str("cause", err.Error()).Msg("confirm_failed")
	}
	p.answer(answer{ticket: c.ticket, err: err})
}

// learn takes a head and passes a later one on to all processes.
func (p *planner) learn(head *plan.Head) {
	if head.Configuration.Version <= p.head.Configuration.Version {
		return
	}
	p.head = *head
	p.publish()
	p.log.Info().Uint64("version", head.Configuration.Version).Str("plan", head.Configuration.Plan).Msg("configuration_in_force")
}

func (p *planner) headLoaded(c *command, head *plan.Head) {
	if c.Kind == operator.ShowIntent {
		p.answer(answer{ticket: c.ticket, status: http.StatusOK, body: head})
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
		p.failed(c, err)
		return
	}
	p.ask(c, &storeRequest{kind: savePlan, ticket: c.ticket, plan: made})
}

func (p *planner) status() operator.Status {
	return operator.Status{
		Controller: p.settings.Instance,
		Version:    p.head.Configuration.Version,
		Processes:  p.processes.list(),
		Pools:      append([]operator.PoolStatus{}, p.fleet.pools...),
		Leases:     append([]operator.LeaseStatus{}, p.fleet.leases...),
	}
}

// answer uses the slot that the operators duty reserved for the command.
func (p *planner) answer(a answer) {
	_ = p.operators.OfferReserved(operatorsEvent{answer: &a})
}

func (p *planner) dump() plannerDump {
	return plannerDump{
		Version:   p.head.Configuration.Version,
		Plan:      p.head.Configuration.Plan,
		Commands:  len(p.commands),
		Waiters:   len(p.waiters),
		Prices:    len(p.fleet.prices),
		Instances: len(p.fleet.instances),
		Processes: p.processes.list(),
	}
}

func history(records []plan.Record) operator.History {
	h := operator.History{Plans: make([]operator.PlanSummary, 0, len(records))}
	for i := range records {
		h.Plans = append(h.Plans, operator.SummarizePlan(&records[i]))
	}
	return h
}
