package bench

import (
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/hedge"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// gateway drives one Router and one Queue.
type gateway struct {
	sim    *simulation
	router *route.Router
	queue  *admit.Queue
	jobs   map[uint64]*job
	budget retryBudget
	hedges *hedge.Budget
}

// arrive takes a request of a caller.
func (g *gateway) arrive(j *job) {
	g.budget.request()
	g.hedges.RecordRequest()
	if err := g.queue.Admit(j.entry, g.sim.now); err != nil {
		g.sim.result.refused(j)
		return
	}
	g.jobs[j.entry.ID] = j
	g.pump()
}

// pump drops what expired and sends what can run.
func (g *gateway) pump() {
	for _, d := range g.queue.DropExpired(g.sim.now) {
		g.drop(d)
	}
	var choice route.Choice
	canRun := func(e admit.Entry) bool {
		c, err := g.router.Choose(g.routeJob(g.jobs[e.ID]), g.sim.now)
		choice = c
		return err == nil
	}
	for {
		e, ok := g.queue.Next(g.sim.now, canRun)
		if !ok {
			return
		}
		g.send(g.jobs[e.ID], choice)
	}
}

func (g *gateway) drop(d admit.Dropped) {
	j := g.jobs[d.Entry.ID]
	delete(g.jobs, d.Entry.ID)
	if j.sent > 0 {
		g.sim.result.failed(j)
		return
	}
	g.sim.result.refused(j)
}

func (g *gateway) routeJob(j *job) route.Job {
	now := g.sim.now
	return route.Job{
		Pool:          j.class.Pool,
		Model:         g.sim.models[j.class.Pool],
		PromptBlocks:  j.blocks,
		PromptTokens:  j.promptTokens,
		MaxTokens:     j.class.MaxTokens,
		Remaining:     j.entry.Deadline.Sub(now),
		LatencyTarget: j.entry.FirstTokenBy.Sub(now),
		Avoid:         j.avoid,
		Customer:      j.entry.Customer,
	}
}

func (g *gateway) send(j *job, c route.Choice) {
	now := g.sim.now
	a := &attempt{job: j, gateway: g, choice: c, sentAt: now}
	if j.sent == 0 {
		j.dispatchedAt = now
	}
	j.sent++
	j.attempts = append(j.attempts, a)
	g.router.Started(&a.choice, g.routeJob(j), now)
	e := g.sim.engines[c.ID]
	g.sim.after(g.sim.member.OneWay, func() { e.submit(a) })
	g.sim.after(j.entry.Deadline.Sub(now), func() { g.timeOut(a) })
	if len(j.attempts) == 1 {
		g.planHedge(a)
	}
}

// timeOut gives up an attempt at the deadline of its job.
func (g *gateway) timeOut(a *attempt) {
	if a.ended {
		return
	}
	j := a.job
	a.ended = true
	a.canceled = true
	g.router.Failed(&a.choice, route.TimedOut, g.sim.now)
	e := g.sim.engines[a.choice.ID]
	g.sim.after(g.sim.member.OneWay, func() { e.cancel(a) })
	if !j.ended && j.live() == 0 {
		g.end(j)
		g.sim.result.failed(j)
	}
}

func (g *gateway) planHedge(a *attempt) {
	delay, ok := g.hedges.Delay(hedge.Attempt{Idempotent: !a.job.class.NonIdempotent, PredictedFirstToken: a.choice.PredictedFirstToken})
	if ok {
		g.sim.after(delay, func() { g.hedge(a) })
	}
}

// hedge sends a second attempt if the first one has no token yet.
func (g *gateway) hedge(a *attempt) {
	j := a.job
	if a.firstAt != 0 || a.ended || j.ended || j.live() != 1 {
		return
	}
	avoid := j.avoid
	j.avoid = append(slices.Clone(avoid), a.choice.ID)
	c, err := g.router.Choose(g.routeJob(j), g.sim.now)
	j.avoid = avoid
	if err == nil && g.hedges.Take(g.queue.Waiting(j.class.Pool)) {
		g.sim.result.hedged(j)
		g.send(j, c)
	}
}

// cancelOthers ends the attempts beside the one that answers. They are held
// against their replicas, as they were late enough for a hedge.
func (g *gateway) cancelOthers(chosen *attempt) {
	for _, a := range chosen.job.attempts {
		if a == chosen || a.ended {
			continue
		}
		a.ended = true
		a.canceled = true
		g.router.Failed(&a.choice, route.TimedOut, g.sim.now)
		e := g.sim.engines[a.choice.ID]
		g.sim.after(g.sim.member.OneWay, func() { e.cancel(a) })
	}
}

func (g *gateway) firstToken(a *attempt) {
	if a.ended {
		return
	}
	now := g.sim.now
	a.firstAt = now
	g.router.FirstToken(&a.choice, now.Sub(a.sentAt), now)
	g.queue.ObserveFirstToken(a.job.entry, now.Sub(a.job.dispatchedAt))
	g.cancelOthers(a)
	if a.job.firstAt == 0 {
		a.job.firstAt = now
	}
}

func (g *gateway) finished(a *attempt) {
	if a.ended {
		return
	}
	now := g.sim.now
	a.ended = true
	if n := a.job.answerTokens - 1; n > 0 {
		g.router.NextTokens(&a.choice, n, now.Sub(a.firstAt), now)
	}
	g.router.Finished(&a.choice, now)
	g.end(a.job)
	g.sim.result.answered(a.job, now)
	g.pump()
}

func (g *gateway) failed(a *attempt, kind route.FailureKind) {
	if a.ended {
		return
	}
	a.ended = true
	j := a.job
	g.router.Failed(&a.choice, kind, g.sim.now)
	j.avoid = append(j.avoid, a.choice.ID)
	if !j.ended && j.live() == 0 {
		g.retry(j)
	}
	g.pump()
}

// retry queues a job again if that is allowed. An engine that is dead took no
// work, so that the non-idempotent may go on too.
func (g *gateway) retry(j *job) {
	if j.class.NonIdempotent || j.sent >= maxAttempts || !g.budget.take() {
		g.end(j)
		g.sim.result.failed(j)
		return
	}
	j.firstAt = 0
	g.queue.Requeue(j.entry)
}

func (g *gateway) end(j *job) {
	j.ended = true
	delete(g.jobs, j.entry.ID)
	g.queue.Finish(j.entry, g.sim.now.Sub(j.dispatchedAt))
}

// predict is what a gateway expects of a request at an upstream.
func predict(c *Class, promptTokens int) (firstToken, work time.Duration) {
	const (
		prefillTokensPerSecond = 8000
		step                   = 30 * time.Millisecond
	)
	firstToken = step + time.Duration(promptTokens)*time.Second/prefillTokensPerSecond
	return firstToken, firstToken + time.Duration(c.MaxTokens)*step
}
