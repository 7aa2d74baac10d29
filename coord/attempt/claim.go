package attempt

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// maxWrites bounds how often one row change is tried when its outcome is
// unknown.
const maxWrites = 3

// Claim is the state machine of one request at one holder. It is owned by one
// thread.
type Claim struct {
	window     Window
	phase      phase
	record     Record        // as this claim wants the row to be
	former     *Record       // as released by the former holder; nil without one
	version    uint64        // of the row that the next write replaces
	deadline   clock.Instant // of the right to send
	writes     int           // tries of the current change
	sent       bool          // sent here or by a former holder
	keyChecked bool          // see Refuse.KeyChecked
	isOwner    bool          // the row is known to be of this claim
}

// NewClaim makes the claim for a request that arrived at the holder. The nonce
// must not have been used before by this incarnation of the holder.
func NewClaim(window Window, holder Holder, nonce uint64, request Request) *Claim {
	return &Claim{
		window: window,
		record: Record{
			ID:          request.ID,
			Fingerprint: request.Fingerprint,
			Holder:      holder,
			Nonce:       nonce,
			Attempt:     1,
			State:       Claimed,
			Created:     request.Created,
		},
	}
}

// NewClaimFrom makes the claim of a successor from what the former holder
// released.
func NewClaimFrom(window Window, holder Holder, nonce uint64, handoff Handoff) *Claim {
	record := handoff.Record
	record.Holder = holder
	record.Nonce = nonce
	record.Sent = handoff.Sent
	former := handoff.Record
	return &Claim{window: window, record: record, former: &former, version: handoff.Version}
}

// Begin starts the deadline of the right to send and asks for the write of the
// claim. It must be called before the write is handed to the table service.
func (c *Claim) Begin(now clock.Instant) Step {
	if c.phase != phaseIdle {
		return c.refuse(&PhaseError{ID: c.record.ID, Call: "Begin", Phase: c.phase.String()})
	}
	c.phase = phaseClaiming
	c.deadline = c.window.deadline(now)
	return c.write()
}

// Written takes the result of the write that the last step asked for.
func (c *Claim) Written(err error, now clock.Instant) Step {
	switch c.phase {
	case phaseClaiming:
		return c.claimWritten(err, now)
	case phaseFinishing, phaseAbandoning:
		return c.endWritten(err)
	case phaseCanceled:
		return c.abandon()
	default:
		return Done{}
	}
}

// ReadResult takes the result of the read that the last step asked for.
func (c *Claim) ReadResult(found row.Row, err error, now clock.Instant) Step {
	switch c.phase {
	case phaseClaiming:
		return c.claimRead(found, err, now)
	case phaseFinishing, phaseAbandoning:
		return c.endRead(found, err)
	case phaseCanceled:
		return c.abandon()
	default:
		return Done{}
	}
}

// MaySend returns nil if the request may be sent at this instant. It is to be
// called right before the first byte leaves the process, each time with a fresh
// reading of the clock. After an *ExpiredError the claim never sends; the
// request may be refused as not run, and Abandon frees its key.
func (c *Claim) MaySend(now clock.Instant) error {
	if c.phase != phaseHeld {
		return &PhaseError{ID: c.record.ID, Call: "MaySend", Phase: c.phase.String()}
	}
	if err := c.checkDeadline(now); err != nil {
		c.phase = phaseRefused
		return err
	}
	return nil
}

// Sent notes that the first byte may have left. From here on the request may
// be called not run only with the upstream's own refusal.
func (c *Claim) Sent() error {
	if c.phase != phaseHeld {
		return &PhaseError{ID: c.record.ID, Call: "Sent", Phase: c.phase.String()}
	}
	c.phase = phaseSent
	c.sent = true
	return nil
}

// NotSent takes Sent back. It needs the transport's proof that no byte of the
// request left the process, and makes another try possible within the deadline.
func (c *Claim) NotSent() error {
	if c.phase != phaseSent || c.record.Sent {
		return &PhaseError{ID: c.record.ID, Call: "NotSent", Phase: c.phase.String()}
	}
	c.phase = phaseHeld
	c.sent = false
	return nil
}

// IsSent reports whether the request was sent, here or by a former holder.
func (c *Claim) IsSent() bool {
	return c.sent
}

// Complete asks for the write of the answer of a request that was sent.
func (c *Claim) Complete(answer Answer) (Step, error) {
	return c.finish("Complete", Completed, answer)
}

// RefusedByUpstream asks for the write that the upstream itself refused the
// request and has not acted on it.
func (c *Claim) RefusedByUpstream() (Step, error) {
	return c.finish("RefusedByUpstream", NotRun, Answer{})
}

// Lose asks for the write that the outcome of a request that was sent is not
// known and will not be.
func (c *Claim) Lose() (Step, error) {
	return c.finish("Lose", Unknown, Answer{})
}

// Cancel gives the right to send up for good while a write or read of the claim
// is outstanding, for a caller that can't wait longer. The result of the
// outstanding call is still to be handed in; the key is freed after it.
func (c *Claim) Cancel(cause error) (Step, error) {
	if c.phase != phaseClaiming {
		return nil, &PhaseError{ID: c.record.ID, Call: "Cancel", Phase: c.phase.String()}
	}
	step := c.refuse(&StoreError{ID: c.record.ID, Err: cause})
	c.phase = phaseCanceled
	return step, nil
}

// Abandon gives the right to send up for good, if it was not used, and asks for
// the write that frees the key. The caller need not wait for it: a request that
// was refused is not run whether or not this write succeeds. The step is Done
// where there is nothing to free.
func (c *Claim) Abandon() (Step, error) {
	switch c.phase {
	case phaseIdle, phaseEnded:
		return c.end(Done{}), nil
	case phaseHeld, phaseRefused:
		return c.abandon(), nil
	default:
		return nil, &PhaseError{ID: c.record.ID, Call: "Abandon", Phase: c.phase.String()}
	}
}

// Release gives the claim up in favour of whoever gets the handoff. From this
// call on the claim neither sends nor writes.
func (c *Claim) Release() (Handoff, error) {
	if c.phase != phaseHeld && c.phase != phaseSent {
		return Handoff{}, &PhaseError{ID: c.record.ID, Call: "Release", Phase: c.phase.String()}
	}
	c.phase = phaseReleased
	return Handoff{Record: c.record, Version: c.version, Sent: c.sent}, nil
}

func (c *Claim) claimWritten(err error, now clock.Instant) Step {
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		return c.hold(c.version+1, now)
	case errors.As(err, &conflict), errors.As(err, &unknown):
		// After a conflict, too: an earlier try of unknown outcome may be the
		// row that this one met.
		return Read{Key: c.record.ID.Row()}
	default:
		return c.refuse(&StoreError{ID: c.record.ID, Err: err})
	}
}

func (c *Claim) claimRead(found row.Row, err error, now clock.Instant) Step {
	if err != nil {
		return c.refuse(&StoreError{ID: c.record.ID, Err: err})
	}
	if found.Version == 0 {
		c.keyChecked = true
		return c.claimAgain(0, c.record.Attempt, now)
	}
	record, err := DecodeRecord(found)
	if err != nil {
		return c.refuse(&InvalidRecordError{ID: c.record.ID, Err: err})
	}
	switch {
	case record.Fingerprint != c.record.Fingerprint:
		return c.end(Refuse{Err: &FingerprintError{ID: c.record.ID}})
	case record.isOf(c.record.Holder, c.record.Nonce):
		return c.hold(found.Version, now)
	case c.isFrom(record):
		return c.claimAgain(found.Version, c.record.Attempt, now)
	case record.State == NotRun && c.former == nil:
		// A successor must not go on here: another one may have answered the
		// caller that the request was not run.
		c.keyChecked = true
		return c.claimAgain(found.Version, record.Attempt+1, now)
	default:
		return c.end(Duplicate{Record: record, Version: found.Version})
	}
}

// isFrom reports whether the record is still as the former holder left it. A
// Settler may have made it Unknown; an exchange that was sent goes on anyway.
func (c *Claim) isFrom(record Record) bool {
	if c.former == nil || !record.isOf(c.former.Holder, c.former.Nonce) {
		return false
	}
	return record.State == Claimed || record.State == Unknown && c.record.Sent
}

// claimAgain tries the claim over the given version.
func (c *Claim) claimAgain(version uint64, attempt uint32, now clock.Instant) Step {
	if version != c.version {
		c.writes = 0
	}
	c.version = version
	c.record.Attempt = attempt
	if err := c.checkDeadline(now); err != nil {
		return c.refuse(err)
	}
	if c.writes >= maxWrites {
		return c.refuse(&StoreError{ID: c.record.ID, Err: &TriesError{Tries: c.writes}})
	}
	return c.write()
}

// hold takes note that the row of the given version is this claim.
func (c *Claim) hold(version uint64, now clock.Instant) Step {
	c.version = version
	c.writes = 0
	c.isOwner = true
	c.keyChecked = true
	if c.record.Sent {
		c.sent = true
		c.phase = phaseSent
		return Attach{Attempt: c.record.Attempt}
	}
	if err := c.checkDeadline(now); err != nil {
		return c.refuse(err)
	}
	c.phase = phaseHeld
	return Send{Attempt: c.record.Attempt, Until: c.deadline}
}

func (c *Claim) checkDeadline(now clock.Instant) error {
	if now.Before(c.deadline) {
		return nil
	}
	return &ExpiredError{ID: c.record.ID, Late: now.Sub(c.deadline)}
}

func (c *Claim) write() Step {
	c.writes++
	return Write{Transaction: c.record.put(c.version)}
}

// refuse gives the right to send up for good. A successor whose write has no
// known outcome can't say that the request was not run, since another successor
// may hold the claim.
func (c *Claim) refuse(err error) Step {
	if c.former != nil && !c.isOwner {
		return c.end(Lost{Err: err})
	}
	c.phase = phaseRefused
	return Refuse{Err: err, KeyChecked: c.keyChecked}
}

func (c *Claim) abandon() Step {
	if c.former != nil && !c.isOwner {
		return c.end(Done{})
	}
	c.phase = phaseAbandoning
	c.record.State = NotRun
	c.writes = 0
	return c.write()
}

func (c *Claim) end(step Step) Step {
	c.phase = phaseEnded
	return step
}
