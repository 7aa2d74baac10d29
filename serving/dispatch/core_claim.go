package dispatch

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Written takes the result of WriteRows.
func (c *Core) Written(id request.ID, serial uint64, err error, now clock.Instant) {
	if e := c.awaiting(id, serial); e != nil {
		c.step(e, e.claim.Written(err, now), now)
	}
}

// ReadResult takes the result of ReadRow.
func (c *Core) ReadResult(id request.ID, serial uint64, found row.Row, err error, now clock.Instant) {
	if c.lookedUp(id, serial, found, err, now) {
		return
	}
	if e := c.awaiting(id, serial); e != nil {
		c.step(e, e.claim.ReadResult(found, err, now), now)
	}
}

// MaySend is called right before the first byte of an attempt leaves. When it
// returns false the attempt must not be sent, and has ended.
func (c *Core) MaySend(ref Ref, now clock.Instant) bool {
	e := c.current(ref)
	if e == nil {
		return false
	}
	if e.claim == nil || e.isContinued() {
		return true
	}
	if err := e.claim.MaySend(now); err != nil {
		c.dropAttempt(e, now)
		c.endRefused(e, request.StoreUnavailable, "the right to send has lapsed", now)
		c.abandonClaim(e, now)
		return false
	}
	// MaySend has just succeeded, so the claim is held.
	_ = e.claim.Sent()
	return true
}

func (c *Core) awaiting(id request.ID, serial uint64) *entry {
	e := c.entries[id]
	if e == nil || !e.pending || e.serial != serial || e.claim == nil {
		return nil
	}
	e.pending = false
	return e
}

// claimAttempt asks for the right to send a non-idempotent request.
func (c *Core) claimAttempt(e *entry, now clock.Instant) {
	e.phase = phaseClaiming
	c.lastNonce++
	e.claim = attempt.NewClaim(c.cfg.Window, c.cfg.Holder, c.lastNonce, attempt.Request{
		ID:          attempt.ID{Customer: e.request.ID.Customer, Key: e.request.ID.Key},
		Fingerprint: e.fingerprint,
		Created:     e.created,
	})
	c.step(e, e.claim.Begin(now), now)
}

// step carries out what a claim asks for.
func (c *Core) step(e *entry, s attempt.Step, now clock.Instant) {
	switch s := s.(type) {
	case attempt.Write:
		e.await(c)
		c.do(WriteRows{ID: e.request.ID, Serial: e.serial, Transaction: s.Transaction})
	case attempt.Read:
		e.await(c)
		c.do(ReadRow{ID: e.request.ID, Serial: e.serial, Key: s.Key})
	case attempt.Send:
		c.claimHeld(e, s, now)
	case attempt.Refuse:
		c.claimRefusedHere(e, s, now)
	case attempt.Duplicate:
		c.claimDuplicate(e, s, now)
	case attempt.Attach:
		c.claimAttached(e, now)
	case attempt.Lost:
		c.claimLost(e, now)
	case attempt.Done:
		c.claimDone(e, s, now)
	}
}

func (e *entry) await(c *Core) {
	c.lastSeq++
	e.serial = c.lastSeq
	e.pending = true
}

func (c *Core) claimHeld(e *entry, s attempt.Send, now clock.Instant) {
	if e.phase != phaseClaiming {
		c.abandonClaim(e, now)
		return
	}
	c.accept(e)
	c.send(e, "", s.Until, now)
}

func (c *Core) claimRefusedHere(e *entry, s attempt.Refuse, now clock.Instant) {
	if e.phase == phaseClaiming {
		c.dropAttempt(e, now)
		reason, detail := refusalOf(s)
		c.endRefused(e, reason, detail, now)
	}
	c.abandonClaim(e, now)
}

func refusalOf(s attempt.Refuse) (request.Reason, string) {
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

// claimDuplicate answers from the record of the request that came first.
func (c *Core) claimDuplicate(e *entry, s attempt.Duplicate, now clock.Instant) {
	if e.token != 0 {
		c.claimLost(e, now)
		return
	}
	e.claim = nil
	if e.phase != phaseClaiming {
		return
	}
	c.dropAttempt(e, now)
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

func (c *Core) endFromRecord(e *entry, recorded attempt.Answer, now clock.Instant) {
	kept, err := decodeRecorded(recorded.Inline)
	if err != nil || kept == nil {
		e.mayHaveRun = true
		c.endUnknown(e, request.Duplicate, "the request has completed before; its answer is too large to be kept", now)
		return
	}
	c.accept(e)
	e.complete(kept)
	c.end(e, request.Summary{Reply: kept.Reply}, now)
}

func (c *Core) claimDone(e *entry, s attempt.Done, now clock.Instant) {
	if s.Err != nil {
		c.note(RecordFailed, e, s.Err.Error())
	}
	if e.phase != phaseClaiming {
		return
	}
	// The upstream's refusal is recorded: the next attempt claims anew.
	e.claim = nil
	c.retry(e, now)
}

// claimNotSent goes on after no byte of the request left the process.
func (c *Core) claimNotSent(e *entry, now clock.Instant) {
	if err := e.claim.NotSent(); err != nil {
		c.loseClaim(e)
		c.endUnknown(e, request.UpstreamFailed, err.Error(), now)
		return
	}
	e.phase = phaseClaiming
	step, err := e.claim.Abandon()
	if err != nil {
		c.endRefused(e, request.NoUpstream, err.Error(), now)
		return
	}
	c.step(e, step, now)
}

// claimRefused records that the upstream refused the request as not run.
func (c *Core) claimRefused(e *entry, now clock.Instant) {
	e.phase = phaseClaiming
	step, err := e.claim.RefusedByUpstream()
	if err != nil {
		c.endRefused(e, request.NoUpstream, err.Error(), now)
		return
	}
	c.step(e, step, now)
}

// cancelClaim gives the right to send up while its record is on the way.
func (c *Core) cancelClaim(e *entry) {
	if e.claim == nil || !e.pending {
		return
	}
	// A claim that can't be canceled has ended.
	_, _ = e.claim.Cancel(&CanceledError{ID: e.request.ID})
}

// abandonClaim frees the key of a request that was refused as not run.
func (c *Core) abandonClaim(e *entry, now clock.Instant) {
	if e.claim == nil {
		return
	}
	if step, err := e.claim.Abandon(); err == nil {
		c.step(e, step, now)
	}
}

// loseClaim records that the outcome is unknown.
func (c *Core) loseClaim(e *entry) {
	if e.claim == nil {
		return
	}
	if step, err := e.claim.Lose(); err == nil {
		c.step(e, step, 0)
	}
}

// completeClaim records the answer.
func (c *Core) completeClaim(e *entry, reply *request.ServiceReply) {
	if e.claim == nil {
		return
	}
	recorded := attempt.Answer{Pieces: e.log.Len()}
	recorded.Inline = encodeRecorded(&recordedAnswer{Text: e.log.Text(), Tokens: e.log.Tokens(), Reply: reply}, c.cfg.MaxInlineBytes)
	if step, err := e.claim.Complete(recorded); err == nil {
		c.step(e, step, 0)
	}
}
