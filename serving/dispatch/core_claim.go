package dispatch

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// RowsWritten reports the result of a WriteRows.
func (c *Core) RowsWritten(id request.ID, serial uint64, err error, now clock.Instant) {
	if e := c.endStoreCall(id, serial); e != nil {
		c.performStep(e, e.claim.Written(err, now), now)
	}
}

// RowRead reports the result of a ReadRow.
func (c *Core) RowRead(id request.ID, serial uint64, found row.Row, err error, now clock.Instant) {
	if c.finishLookup(id, serial, found, err, now) {
		return
	}
	if e := c.endStoreCall(id, serial); e != nil {
		c.performStep(e, e.claim.ReadResult(found, err, now), now)
	}
}

// MaySend reports whether an attempt may be sent. It must be called right before
// the first byte leaves. If it returns false, the attempt has ended and must not
// be sent.
func (c *Core) MaySend(ref StreamRef, now clock.Instant) bool {
	e := c.currentEntry(ref)
	if e == nil {
		return false
	}
	if e.claim == nil || e.isClaimSent() {
		return true
	}
	if err := e.claim.MaySend(now); err != nil {
		c.cancelAttempt(e, now)
		c.endRefused(e, request.StoreUnavailable, "the right to send has lapsed", now)
		c.abandonClaim(e, now)
		return false
	}
	// Sent can't fail: MaySend has just succeeded.
	_ = e.claim.MarkSent()
	return true
}

// endStoreCall returns the entry that waits for the result of a call to the
// table service and marks the call as done. It returns nil for a stale result.
func (c *Core) endStoreCall(id request.ID, serial uint64) *entry {
	e := c.entries[id]
	if e == nil || !e.isStoreCallPending || e.storeCallSerial != serial || e.claim == nil {
		return nil
	}
	e.isStoreCallPending = false
	return e
}

// claimAttempt claims the right to send a non-idempotent request.
func (c *Core) claimAttempt(e *entry, now clock.Instant) {
	e.phase = phaseClaiming
	c.lastNonce++
	e.claim = attempt.NewClaim(c.cfg.ClaimWindow, c.cfg.Holder, c.lastNonce, attempt.Request{
		ID:          attempt.ID{Customer: e.request.ID.Customer, Key: e.request.ID.Key},
		Fingerprint: e.fingerprint,
		Created:     e.arrivedUnix,
	})
	c.performStep(e, e.claim.Begin(now), now)
}

// performStep carries out a step of the claim of a request.
func (c *Core) performStep(e *entry, s attempt.Step, now clock.Instant) {
	switch s := s.(type) {
	case attempt.Write:
		e.beginStoreCall(c)
		c.emit(WriteRows{ID: e.request.ID, Serial: e.storeCallSerial, Transaction: s.Transaction})
	case attempt.Read:
		e.beginStoreCall(c)
		c.emit(ReadRow{ID: e.request.ID, Serial: e.storeCallSerial, Key: s.Key})
	case attempt.Send:
		c.claimGranted(e, s, now)
	case attempt.Refuse:
		c.claimDenied(e, s, now)
	case attempt.Duplicate:
		c.claimDuplicate(e, s, now)
	case attempt.Attach:
		c.claimAttached(e, now)
	case attempt.HandoffFailed:
		c.claimLost(e, now)
	case attempt.Done:
		c.claimDone(e, s, now)
	}
}

func (e *entry) beginStoreCall(c *Core) {
	c.lastSeq++
	e.storeCallSerial = c.lastSeq
	e.isStoreCallPending = true
}

// claimGranted accepts and sends a request whose claim is held, unless the
// request ended meanwhile.
func (c *Core) claimGranted(e *entry, s attempt.Send, now clock.Instant) {
	if e.phase != phaseClaiming {
		c.abandonClaim(e, now)
		return
	}
	c.accept(e)
	c.send(e, "", s.Until, now)
}

// claimDenied refuses a request that could not be claimed, and frees its key.
func (c *Core) claimDenied(e *entry, s attempt.Refuse, now clock.Instant) {
	if e.phase == phaseClaiming {
		c.cancelAttempt(e, now)
		reason, detail := denialReason(s)
		c.endRefused(e, reason, detail, now)
	}
	c.abandonClaim(e, now)
}

func denialReason(s attempt.Refuse) (request.Reason, string) {
	var fingerprint *attempt.FingerprintError
	var expired *attempt.ExpiredError
	switch {
	case errors.As(s.Err, &fingerprint):
		return request.Conflict, "the key was used for another request"
	case errors.As(s.Err, &expired):
		return request.StoreUnavailable, "the record of the attempt took too long"
	case s.KeyChecked:
		return request.StoreUnavailable, "the attempt can't be recorded"
	default:
		return request.StoreUnavailable, "the attempt can't be recorded; an earlier one under this key keeps its outcome"
	}
}

// claimDuplicate answers from the record of an earlier request with this key.
func (c *Core) claimDuplicate(e *entry, s attempt.Duplicate, now clock.Instant) {
	if e.takeOverToken != 0 {
		c.claimLost(e, now)
		return
	}
	e.claim = nil
	if e.phase != phaseClaiming {
		return
	}
	c.cancelAttempt(e, now)
	if s.Record.State == attempt.Completed {
		c.endFromRecord(e, s.Record.Answer, now)
		return
	}
	e.mayHaveRun = true
	detail := "the request was made before and its outcome is not known here"
	if s.Record.State == attempt.Claimed {
		detail = "the request was made before at gateway " + s.Record.Holder.Instance
	}
	c.endUnknown(e, request.Duplicate, detail, now)
}

// endFromRecord ends a duplicate with the recorded answer of the first request.
func (c *Core) endFromRecord(e *entry, recorded attempt.Answer, now clock.Instant) {
	stored, err := decodeRecorded(recorded.Inline)
	if err != nil || stored == nil {
		e.mayHaveRun = true
		c.endUnknown(e, request.Duplicate, "the request has completed before; its answer is too large to be kept", now)
		return
	}
	c.accept(e)
	e.appendRecorded(stored)
	c.end(e, request.Summary{Reply: stored.Reply}, now)
}

// claimDone handles the end of a claim. A request that still needs an attempt is
// retried.
func (c *Core) claimDone(e *entry, s attempt.Done, now clock.Instant) {
	if s.Err != nil {
		c.emitEvent(RecordFailed, e, s.Err.Error())
	}
	if e.phase != phaseClaiming {
		return
	}
	// The record says that this attempt was not run, so the next one needs a new
	// claim.
	e.claim = nil
	c.retry(e, now)
}

// withdrawClaim records that a request whose first byte never left the process
// was not run. The request is retried after that.
func (c *Core) withdrawClaim(e *entry, now clock.Instant) {
	if err := e.claim.MarkNotSent(); err != nil {
		c.recordUnknown(e)
		c.endUnknown(e, request.UpstreamFailed, err.Error(), now)
		return
	}
	e.phase = phaseClaiming
	step, err := e.claim.Abandon()
	if err != nil {
		c.endRefused(e, request.NoUpstream, err.Error(), now)
		return
	}
	c.performStep(e, step, now)
}

// recordUpstreamRefusal records that the upstream refused the request without
// running it. The request is retried after that.
func (c *Core) recordUpstreamRefusal(e *entry, now clock.Instant) {
	e.phase = phaseClaiming
	step, err := e.claim.MarkRefusedByUpstream()
	if err != nil {
		c.endRefused(e, request.NoUpstream, err.Error(), now)
		return
	}
	c.performStep(e, step, now)
}

// cancelClaim gives up the claim of a request while it is being written or read.
func (c *Core) cancelClaim(e *entry) {
	if e.claim == nil || !e.isStoreCallPending {
		return
	}
	// A claim that can't be canceled has already ended.
	_, _ = e.claim.Cancel(&CanceledError{ID: e.request.ID})
}

// abandonClaim records that a request was not run, which frees its key.
func (c *Core) abandonClaim(e *entry, now clock.Instant) {
	if e.claim == nil {
		return
	}
	if step, err := e.claim.Abandon(); err == nil {
		c.performStep(e, step, now)
	}
}

// recordUnknown records that the outcome of a request is unknown.
func (c *Core) recordUnknown(e *entry) {
	if e.claim == nil {
		return
	}
	if step, err := e.claim.MarkUnknown(); err == nil {
		c.performStep(e, step, 0)
	}
}

// recordAnswer records that a request has completed, with its answer if that is
// at most MaxInlineBytes long.
func (c *Core) recordAnswer(e *entry, reply *request.ServiceReply) {
	if e.claim == nil {
		return
	}
	recorded := attempt.Answer{Pieces: e.answer.Len()}
	recorded.Inline = encodeRecorded(newRecordedAnswer(&e.answer, reply), c.cfg.MaxInlineBytes)
	if step, err := e.claim.Complete(recorded); err == nil {
		c.performStep(e, step, 0)
	}
}
