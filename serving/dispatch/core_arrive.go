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

// Arrive handles a new call. The caller is refused, attached if the request is
// known already, or accepted when the first attempt starts.
func (c *Core) Arrive(a Arrival, now clock.Instant) {
	c.counts.Arrived++
	if c.isDraining {
		c.refuse(a.Handle, request.Draining, "this gateway is stopping", 0)
		return
	}
	if c.catalog == nil {
		c.refuse(a.Handle, request.NotConfigured, "no configuration has been confirmed yet", defaultRetryAfter)
		return
	}
	target, refusal := c.resolve(&a.Request)
	if refusal != nil {
		c.emit(Refuse{Handle: a.Handle, Refusal: refusal})
		return
	}
	c.lastSeq++
	if a.Request.ID.Key == "" {
		// Keys of callers contain no spaces, so this one is unique.
		a.Request.ID.Key = "call " + strconv.FormatUint(c.lastSeq, 10)
	}
	fingerprint := fingerprintOf(&a.Request)
	if known := c.entries[a.Request.ID]; known != nil {
		if c.handleDuplicate(known, a.Handle, fingerprint) {
			return
		}
		c.forget(known)
	}
	if !c.makeRoom() {
		c.refuse(a.Handle, request.Overloaded, "too many requests are open", defaultRetryAfter)
		return
	}
	c.admit(&entry{
		seq:         c.lastSeq,
		request:     a.Request,
		fingerprint: fingerprint,
		arrivedUnix: a.UnixSeconds,
		target:      target,
		handle:      a.Handle,
		arrivedAt:   now,
		deadline:    now.Add(a.Request.Deadline),
	}, now)
}

// Resume attaches a caller to the answer of a request from a piece on. If this
// gateway does not know the request, its record is read first.
func (c *Core) Resume(handle CallerHandle, id request.ID, from int, now clock.Instant) {
	e := c.entries[id]
	switch {
	case e == nil:
		c.startLookup(Attach{Handle: handle, ID: id, From: from})
		return
	case e.phase == phaseEnded && !e.isAccepted:
		c.emit(Refuse{Handle: handle, Refusal: e.summary.Refusal})
		return
	}
	c.attach(e, handle, from)
}

// attach attaches a caller to a request now or as soon as the request is
// accepted.
func (c *Core) attach(e *entry, handle CallerHandle, from int) {
	e.hasNoCaller = false
	if !e.isAccepted {
		e.waitingCallers = append(e.waitingCallers, Attach{Handle: handle, ID: e.request.ID, From: from})
		return
	}
	c.emit(Attach{Handle: handle, ID: e.request.ID, From: from})
}

// Cancel cancels a request on behalf of its caller.
func (c *Core) Cancel(handle CallerHandle, id request.ID, now clock.Instant) {
	e := c.entries[id]
	if e == nil {
		c.refuse(handle, request.NotFound, "this gateway knows no request with this key", 0)
		return
	}
	c.giveUp(e, request.Canceled, "the caller canceled the request", now)
	c.emit(ConfirmCancel{Handle: handle})
	c.startQueued(now)
}

// CallersGone reports that the last caller of a request has disconnected. An
// idempotent request is canceled if no caller returns within ResumeGrace; any
// other runs to its end.
func (c *Core) CallersGone(id request.ID, now clock.Instant) {
	e := c.entries[id]
	if e == nil || e.phase == phaseEnded {
		return
	}
	e.hasNoCaller = true
	e.callersGoneAt = now
	c.setTimer(e, now.Add(c.cfg.ResumeGrace))
}

// handleDuplicate handles a call with the key of a known request. It returns
// false if the call is to be handled as a new request: the known one ended as
// not run, or it only found the record of another gateway, which may have
// changed since.
func (c *Core) handleDuplicate(known *entry, handle CallerHandle, fingerprint attempt.Fingerprint) bool {
	switch {
	case known.fingerprint != fingerprint:
		c.refuse(handle, request.Conflict, "the key was used for another request", 0)
		return true
	case known.phase == phaseEnded && known.isStoreCallPending && known.summary.Outcome() == request.NotRun:
		// The claim is still being abandoned in the table service.
		c.emit(Refuse{Handle: handle, Refusal: known.summary.Refusal})
		return true
	case known.phase == phaseEnded && known.summary.Outcome() == request.NotRun:
		return false
	case known.phase == phaseEnded && !known.isAccepted && known.summary.Refusal.Reason == request.Duplicate:
		return false
	case known.phase == phaseEnded && !known.isAccepted:
		// The request has no answer to attach the caller to.
		c.emit(Refuse{Handle: handle, Refusal: known.summary.Refusal})
		return true
	default:
		c.counts.Attached++
		c.attach(known, handle, 0)
		return true
	}
}

func (c *Core) admit(e *entry, now clock.Instant) {
	e.promptBlocks = prefix.Blocks(e.request.Model, e.request.Adapter, e.request.Prompt)
	e.promptTokens = prefix.Tokens(e.request.Prompt)
	e.queueEntry = c.newQueueEntry(e, now)
	if err := c.queue.Admit(e.queueEntry, now); err != nil {
		c.refuseAdmission(e.handle, err)
		return
	}
	c.entries[e.request.ID] = e
	c.bySeq[e.seq] = e
	c.setTimer(e, e.deadline)
	c.startQueued(now)
}

// newQueueEntry returns the queue entry of a request with the router's
// prediction of its run time. The prediction is 0 if no replica can take the
// request now; it then waits for one.
func (c *Core) newQueueEntry(e *entry, now clock.Instant) admit.Entry {
	q := admit.Entry{
		ID:       e.seq,
		Customer: e.request.ID.Customer,
		Pool:     e.target.pool,
		Priority: e.request.Priority,
		Arrived:  now,
		Deadline: e.deadline,
	}
	if e.target.firstTokenTarget > 0 {
		q.FirstTokenBy = now.Add(e.target.firstTokenTarget)
	}
	if choice, err := c.router.Choose(c.newJob(e, now), now); err == nil {
		q.PredictedFirstToken = choice.PredictedFirstToken
		q.PredictedWork = choice.PredictedFirstToken
	}
	return q
}

func (c *Core) newJob(e *entry, now clock.Instant) route.Job {
	job := route.Job{
		Pool:         e.target.pool,
		Model:        e.target.model,
		Adapter:      e.request.Adapter,
		PromptBlocks: e.promptBlocks,
		PromptTokens: e.promptTokens + e.answer.Tokens(),
		MaxTokens:    max(e.request.MaxTokens-e.answer.Tokens(), 0),
		Remaining:    e.deadline.Sub(now),
		Avoid:        e.triedReplicas,
		Customer:     e.request.ID.Customer,
	}
	if e.target.firstTokenTarget > 0 {
		job.LatencyTarget = max(e.arrivedAt.Add(e.target.firstTokenTarget).Sub(now), time.Nanosecond)
	}
	return job
}

// accept tells the caller of a request, and those that came after it, that the
// request is accepted.
func (c *Core) accept(e *entry) {
	if e.isAccepted {
		return
	}
	e.isAccepted = true
	c.counts.Accepted++
	c.emit(Accept{Handle: e.handle, ID: e.request.ID})
	for _, a := range e.waitingCallers {
		c.emit(a)
	}
	e.waitingCallers = nil
}

// resolve finds the target of a request. For a service call it also sets what
// the configuration decides: Idempotent and the default deadline.
func (c *Core) resolve(r *request.Request) (target, *request.Refusal) {
	if r.Call == nil {
		t, ok := c.catalog.models[qualifiedName{r.Member, r.Model}]
		if !ok {
			return target{}, notRun(request.BadRequest, "there is no model "+strconv.Quote(r.Model), 0)
		}
		return t, nil
	}
	s, ok := c.catalog.services[qualifiedName{r.Member, r.Call.Service}]
	if !ok {
		return target{}, notRun(request.NotFound, "there is no service "+strconv.Quote(r.Call.Service), 0)
	}
	r.Idempotent = s.IsIdempotent(r.Call.Method, r.Call.Path)
	if !r.Idempotent && r.ID.Key == "" {
		return target{}, notRun(request.BadRequest, "this call runs at most once and needs the field Idempotency-Key", 0)
	}
	if r.Deadline <= 0 {
		r.Deadline = s.target.defaultDeadline
	}
	return s.target, nil
}

// makeRoom reports whether another entry may be added. If MaxRequests is reached
// it forgets the request that ended first.
func (c *Core) makeRoom() bool {
	if len(c.entries) < c.cfg.MaxRequests {
		return true
	}
	var oldest *entry
	for _, e := range c.entries {
		if !e.isActive() && (oldest == nil || e.endedAt.Before(oldest.endedAt)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	c.forget(oldest)
	return true
}

func (c *Core) refuseAdmission(handle CallerHandle, err error) {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		c.refuse(handle, request.Overloaded, err.Error(), defaultRetryAfter)
		return
	}
	detail := fmt.Sprintf("not admitted: %s", refused.Reason)
	c.refuse(handle, refused.Reason, detail, refused.RetryAfter)
}

func (c *Core) refuse(handle CallerHandle, reason request.Reason, detail string, retryAfter time.Duration) {
	c.counts.Refused++
	c.emit(Refuse{Handle: handle, Refusal: notRun(reason, detail, retryAfter)})
}

func notRun(reason request.Reason, detail string, retryAfter time.Duration) *request.Refusal {
	return &request.Refusal{Outcome: request.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// fingerprintOf returns a digest of what a request asks for. Two requests with
// the same key are the same request only if their fingerprints are equal.
func fingerprintOf(r *request.Request) attempt.Fingerprint {
	if r.Call != nil {
		return attempt.FingerprintOf([]byte(r.Call.Service), []byte(r.Call.Method), []byte(r.Call.Path), r.Call.Body)
	}
	limit := strconv.Itoa(r.MaxTokens)
	idempotent := strconv.FormatBool(r.Idempotent)
	return attempt.FingerprintOf([]byte(r.Model), []byte(r.Adapter), []byte(r.Prompt), []byte(limit), []byte(idempotent))
}
