package dispatch

import (
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Arrive takes a request. Its caller is refused, attached to the same request
// if that is known already, or accepted, now or when its attempt is recorded.
func (c *Core) Arrive(a Arrival, now clock.Instant) {
	c.counts.Arrived++
	if c.isLeaving {
		c.refuse(a.Handle, request.Draining, "this gateway is stopping", 0)
		return
	}
	if c.catalog == nil {
		c.refuse(a.Handle, request.NotConfigured, "no configuration has been confirmed yet", retryPause)
		return
	}
	target, refusal := c.resolve(&a.Request)
	if refusal != nil {
		c.do(Refuse{Handle: a.Handle, Refusal: refusal})
		return
	}
	c.lastSeq++
	if a.Request.ID.Key == "" {
		// No caller can name a key with a space.
		a.Request.ID.Key = "call " + strconv.FormatUint(c.lastSeq, 10)
	}
	fingerprint := fingerprintOf(&a.Request)
	if known := c.entries[a.Request.ID]; known != nil {
		if c.arriveAgain(known, a.Handle, fingerprint) {
			return
		}
		c.forget(known)
	}
	if !c.makeRoom() {
		c.refuse(a.Handle, request.Overloaded, "too many requests are open", retryPause)
		return
	}
	c.enter(&entry{
		seq:         c.lastSeq,
		request:     a.Request,
		fingerprint: fingerprint,
		created:     a.UnixSeconds,
		target:      target,
		handle:      a.Handle,
		arrived:     now,
		deadline:    now.Add(a.Request.Deadline),
	}, now)
}

// Resume gives a caller the answer of a request from a piece on.
func (c *Core) Resume(handle Handle, id request.ID, from int, now clock.Instant) {
	e := c.entries[id]
	switch {
	case e == nil:
		c.lookUp(Attach{Handle: handle, ID: id, From: from})
		return
	case e.phase == phaseEnded && !e.isAccepted:
		c.do(Refuse{Handle: handle, Refusal: e.summary.Refusal})
		return
	}
	c.attach(e, handle, from)
}

// attach gives a caller the answer of a request, as soon as it is accepted.
func (c *Core) attach(e *entry, handle Handle, from int) {
	e.isDetached = false
	if !e.isAccepted {
		e.waiting = append(e.waiting, Attach{Handle: handle, ID: e.request.ID, From: from})
		return
	}
	c.do(Attach{Handle: handle, ID: e.request.ID, From: from})
}

// Cancel gives a request up for its caller.
func (c *Core) Cancel(handle Handle, id request.ID, now clock.Instant) {
	e := c.entries[id]
	if e == nil {
		c.refuse(handle, request.NotFound, "this gateway knows no request with this key", 0)
		return
	}
	c.giveUp(e, request.Canceled, "the caller canceled the request", now)
	c.do(ConfirmCancel{Handle: handle})
	c.pump(now)
}

// Detached says that no caller is attached to a request any more. An idempotent
// one is given up after a while; any other goes on to its end.
func (c *Core) Detached(id request.ID, now clock.Instant) {
	e := c.entries[id]
	if e == nil || e.phase == phaseEnded {
		return
	}
	e.isDetached = true
	e.detachedAt = now
	c.wake(e, now.Add(c.cfg.ResumeGrace))
}

// arriveAgain handles a request under a key that is known. It returns false
// when the known request was refused as not run, so that it may run now, or
// when its record belonged to another gateway, so that the record is read
// again.
func (c *Core) arriveAgain(known *entry, handle Handle, fingerprint attempt.Fingerprint) bool {
	switch {
	case known.fingerprint != fingerprint:
		c.refuse(handle, request.Conflict, "the key was used for another request", 0)
		return true
	case known.phase == phaseEnded && known.pending && known.summary.Outcome() == request.NotRun:
		// The key is still being freed in the table service.
		c.do(Refuse{Handle: handle, Refusal: known.summary.Refusal})
		return true
	case known.phase == phaseEnded && known.summary.Outcome() == request.NotRun:
		return false
	case known.phase == phaseEnded && !known.isAccepted && known.summary.Refusal.Reason == request.Duplicate:
		return false
	case known.phase == phaseEnded && !known.isAccepted:
		// No answer will come that a caller could be attached to.
		c.do(Refuse{Handle: handle, Refusal: known.summary.Refusal})
		return true
	default:
		c.counts.Attached++
		c.attach(known, handle, 0)
		return true
	}
}

func (c *Core) enter(e *entry, now clock.Instant) {
	e.blocks = prefix.Blocks(e.request.Model, e.request.Adapter, e.request.Prompt)
	e.tokens = prefix.Tokens(e.request.Prompt)
	e.queued = c.queueEntry(e, now)
	if err := c.queue.Admit(e.queued, now); err != nil {
		c.refuseAdmission(e.handle, err)
		return
	}
	c.entries[e.request.ID] = e
	c.bySeq[e.seq] = e
	c.wake(e, e.deadline)
	c.pump(now)
}

// queueEntry predicts what a request takes. Without a live replica the
// prediction is zero, and the request waits for one.
func (c *Core) queueEntry(e *entry, now clock.Instant) admit.Entry {
	q := admit.Entry{
		ID:       e.seq,
		Customer: e.request.ID.Customer,
		Pool:     e.target.pool,
		Priority: e.request.Priority,
		Arrived:  now,
		Deadline: e.deadline,
	}
	if e.target.firstToken > 0 {
		q.FirstTokenBy = now.Add(e.target.firstToken)
	}
	if choice, err := c.router.Choose(c.job(e, now), now); err == nil {
		q.PredictedFirstToken = choice.PredictedFirstToken
		q.PredictedWork = choice.PredictedFirstToken
	}
	return q
}

func (c *Core) job(e *entry, now clock.Instant) route.Job {
	job := route.Job{
		Pool:         e.target.pool,
		Model:        e.target.model,
		Adapter:      e.request.Adapter,
		PromptBlocks: e.blocks,
		PromptTokens: e.tokens + e.log.Tokens(),
		MaxTokens:    max(e.request.MaxTokens-e.log.Tokens(), 0),
		Remaining:    e.deadline.Sub(now),
		Avoid:        e.tried,
		Customer:     e.request.ID.Customer,
	}
	if e.target.firstToken > 0 {
		job.LatencyTarget = max(e.arrived.Add(e.target.firstToken).Sub(now), time.Nanosecond)
	}
	return job
}

func (c *Core) accept(e *entry) {
	if e.isAccepted {
		return
	}
	e.isAccepted = true
	c.counts.Accepted++
	c.do(Accept{Handle: e.handle, ID: e.request.ID})
	for _, a := range e.waiting {
		c.do(a)
	}
	e.waiting = nil
}

// resolve finds the pool of a request and completes the request from the
// configuration.
func (c *Core) resolve(r *request.Request) (target, *request.Refusal) {
	if r.Call == nil {
		t, ok := c.catalog.models[name{r.Member, r.Model}]
		if !ok {
			return target{}, notRun(request.BadRequest, "there is no model "+strconv.Quote(r.Model), 0)
		}
		return t, nil
	}
	s, ok := c.catalog.services[name{r.Member, r.Call.Service}]
	if !ok {
		return target{}, notRun(request.NotFound, "there is no service "+strconv.Quote(r.Call.Service), 0)
	}
	r.Idempotent = s.IsIdempotent(r.Call.Method, r.Call.Path)
	if !r.Idempotent && r.ID.Key == "" {
		return target{}, notRun(request.BadRequest, "this call runs at most once and needs the field Idempotency-Key", 0)
	}
	if r.Deadline <= 0 {
		r.Deadline = s.target.timeout
	}
	return s.target, nil
}

// makeRoom forgets the ended request that ended first when the table is full.
func (c *Core) makeRoom() bool {
	if len(c.entries) < c.cfg.MaxRequests {
		return true
	}
	var oldest *entry
	for _, e := range c.entries {
		if !e.isTracked() && (oldest == nil || e.ended.Before(oldest.ended)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	c.forget(oldest)
	return true
}

func (c *Core) refuseAdmission(handle Handle, err error) {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		c.refuse(handle, request.Overloaded, err.Error(), retryPause)
		return
	}
	detail := fmt.Sprintf("not admitted: %s", refused.Reason)
	c.refuse(handle, refused.Reason, detail, refused.RetryAfter)
}

func (c *Core) refuse(handle Handle, reason request.Reason, detail string, retryAfter time.Duration) {
	c.counts.Refused++
	c.do(Refuse{Handle: handle, Refusal: notRun(reason, detail, retryAfter)})
}

func notRun(reason request.Reason, detail string, retryAfter time.Duration) *request.Refusal {
	return &request.Refusal{Outcome: request.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

func fingerprintOf(r *request.Request) attempt.Fingerprint {
	if r.Call != nil {
		return attempt.FingerprintOf([]byte(r.Call.Service), []byte(r.Call.Method), []byte(r.Call.Path), r.Call.Body)
	}
	limit := strconv.Itoa(r.MaxTokens)
	idempotent := strconv.FormatBool(r.Idempotent)
	return attempt.FingerprintOf([]byte(r.Model), []byte(r.Adapter), []byte(r.Prompt), []byte(limit), []byte(idempotent))
}
