package attempt

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// maxWrites limits how often a change of the row is tried while its outcome is
// unknown.
const maxWrites = 3

// Claim is the state machine by which one holder claims one request. It must be
// used by one thread only.
type Claim struct {
	window      Window
	phase       phase
	record      Record        // the value that this claim writes to the row
	predecessor *Record       // as the previous holder released it; nil without a handoff
	version     uint64        // of the row, as the next write expects it
	deadline    clock.Instant // when the right to send expires
	writes      int           // tries of the current change
	sent        bool          // by this holder or an earlier one
	keyChecked  bool          // see Refuse.KeyChecked
	ownsRow     bool          // the row is known to belong to this claim
}

// NewClaim returns the claim of a request that arrived at the holder. This
// incarnation of the holder must not have used the nonce before.
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

// NewClaimFrom returns the claim of a successor, made from the Handoff that the
// previous holder released.
func NewClaimFrom(window Window, holder Holder, nonce uint64, handoff Handoff) *Claim {
	record := handoff.Record
	record.Holder = holder
	record.Nonce = nonce
	record.Sent = handoff.Sent
	predecessor := handoff.Record
	return &Claim{window: window, record: record, predecessor: &predecessor, version: handoff.Version}
}

// Begin computes the deadline of the right to send and requests the write of the
// claim. The time must be read before the write is issued.
func (c *Claim) Begin(now clock.Instant) Step {
	if c.phase != phaseIdle {
		return c.refuse(&PhaseError{ID: c.record.ID, Call: "Begin", Phase: c.phase.String()})
	}
	c.phase = phaseClaiming
	c.deadline = c.window.deadline(now)
	return c.write()
}

// Written handles the result of the write that the last step requested.
func (c *Claim) Written(err error, now clock.Instant) Step {
	switch c.phase {
	case phaseClaiming:
		return c.claimWritten(err, now)
	case phaseFinishing, phaseAbandoning:
		return c.outcomeWritten(err)
	case phaseCanceled:
		return c.abandon()
	default:
		return Done{}
	}
}

// ReadResult handles the result of the read that the last step requested.
func (c *Claim) ReadResult(found row.Row, err error, now clock.Instant) Step {
	switch c.phase {
	case phaseClaiming:
		return c.claimRead(found, err, now)
	case phaseFinishing, phaseAbandoning:
		return c.outcomeRead(found, err)
	case phaseCanceled:
		return c.abandon()
	default:
		return Done{}
	}
}

// MaySend returns nil if the request may be sent now. It must be called
// immediately before the first byte is sent, each time with a fresh reading of
// the clock. After an *ExpiredError the claim never sends: the request may be
// refused as not run, and Abandon frees its key.
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

// MarkSent records that the first byte may have been sent. From then on the
// request counts as not run only if the upstream itself refuses it.
func (c *Claim) MarkSent() error {
	if c.phase != phaseHeld {
		return &PhaseError{ID: c.record.ID, Call: "Sent", Phase: c.phase.String()}
	}
	c.phase = phaseSent
	c.sent = true
	return nil
}

// MarkNotSent reverts MarkSent, so that the send may be tried again before the
// deadline. The transport must have proved that no byte of the request was sent.
func (c *Claim) MarkNotSent() error {
	if c.phase != phaseSent || c.record.Sent {
		return &PhaseError{ID: c.record.ID, Call: "NotSent", Phase: c.phase.String()}
	}
	c.phase = phaseHeld
	c.sent = false
	return nil
}

// IsSent reports whether the request may have been sent, by this holder or an
// earlier one.
func (c *Claim) IsSent() bool {
	return c.sent
}

// Complete requests the write of the answer to a request that was sent.
func (c *Claim) Complete(answer Answer) (Step, error) {
	return c.writeOutcome("Complete", Completed, answer)
}

// MarkRefusedByUpstream requests the write of the state NotRun, for a request
// that the upstream refused without acting on it.
func (c *Claim) MarkRefusedByUpstream() (Step, error) {
	return c.writeOutcome("RefusedByUpstream", NotRun, Answer{})
}

// MarkUnknown requests the write of the state Unknown, for a request that was
// sent and whose outcome can no longer be learned.
func (c *Claim) MarkUnknown() (Step, error) {
	return c.writeOutcome("Lose", Unknown, Answer{})
}

// Cancel gives up the right to send permanently while a write or read of the
// claim is outstanding, for a caller that can't wait any longer. The caller must
// still pass in the result of the outstanding call; the key is freed after it.
func (c *Claim) Cancel(cause error) (Step, error) {
	if c.phase != phaseClaiming {
		return nil, &PhaseError{ID: c.record.ID, Call: "Cancel", Phase: c.phase.String()}
	}
	step := c.refuse(&StoreError{ID: c.record.ID, Err: cause})
	c.phase = phaseCanceled
	return step, nil
}

// Abandon gives up the unused right to send permanently and requests the write
// that frees the key. The caller need not wait for the write: the request is not
// run whether or not it succeeds. The step is Done if there is nothing to free.
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

// Release gives up the claim and returns the Handoff from which a successor can
// claim the request. After this call the claim neither sends nor writes.
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
		return c.acquired(c.version+1, now)
	case errors.As(err, &conflict), errors.As(err, &unknown):
		// A conflict needs a read too: the conflicting row may be the result
		// of an earlier try whose outcome is unknown.
		return Read{Key: c.record.ID.RowKey()}
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
		return c.retryClaim(0, c.record.Attempt, now)
	}
	record, err := DecodeRecord(found)
	if err != nil {
		return c.refuse(&InvalidRecordError{ID: c.record.ID, Err: err})
	}
	switch {
	case record.Fingerprint != c.record.Fingerprint:
		return c.end(Refuse{Err: &FingerprintError{ID: c.record.ID}})
	case record.belongsTo(c.record.Holder, c.record.Nonce):
		return c.acquired(found.Version, now)
	case c.isFromPredecessor(record):
		return c.retryClaim(found.Version, c.record.Attempt, now)
	case record.State == NotRun && c.predecessor == nil:
		// Not for a successor: another one may already have told the caller
		// that the request was not run.
		c.keyChecked = true
		return c.retryClaim(found.Version, record.Attempt+1, now)
	default:
		return c.end(Duplicate{Record: record, Version: found.Version})
	}
}

// isFromPredecessor reports whether the record is still the one that the previous
// holder released. A Resolver may have changed it to Unknown; if the request was
// sent, the successor takes it over nevertheless.
func (c *Claim) isFromPredecessor(record Record) bool {
	if c.predecessor == nil || !record.belongsTo(c.predecessor.Holder, c.predecessor.Nonce) {
		return false
	}
	return record.State == Claimed || record.State == Unknown && c.record.Sent
}

// retryClaim writes the claim again, over the given version of the row.
func (c *Claim) retryClaim(version uint64, attempt uint32, now clock.Instant) Step {
	if version != c.version {
		c.writes = 0
	}
	c.version = version
	c.record.Attempt = attempt
	if err := c.checkDeadline(now); err != nil {
		return c.refuse(err)
	}
	if c.writes >= maxWrites {
		return c.refuse(&StoreError{ID: c.record.ID, Err: &RetriesExhaustedError{Tries: c.writes}})
	}
	return c.write()
}

// acquired handles the finding that the row at the given version holds this claim.
func (c *Claim) acquired(version uint64, now clock.Instant) Step {
	c.version = version
	c.writes = 0
	c.ownsRow = true
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
	return Write{Transaction: c.record.transaction(c.version)}
}

// refuse gives up the right to send permanently. A successor that is not known
// to own the row can't report the request as not run, since another successor
// may hold the claim.
func (c *Claim) refuse(err error) Step {
	if c.predecessor != nil && !c.ownsRow {
		return c.end(HandoffFailed{Err: err})
	}
	c.phase = phaseRefused
	return Refuse{Err: err, KeyChecked: c.keyChecked}
}

func (c *Claim) abandon() Step {
	if c.predecessor != nil && !c.ownsRow {
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
