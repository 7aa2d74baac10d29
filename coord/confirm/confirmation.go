package confirm

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// maxWrites limits how often the transaction is tried while its outcome is
// unknown.
const maxWrites = 3

// maxReads limits the reads of one confirmation. Without it, a table service that
// returns a head row but not the row of its version would be read forever.
const maxReads = 16

// Confirmation is the state machine that confirms one proposal. It must be used
// by one thread only. The steps Confirmed and Rejected are final.
//
// After a conflict or a lost response it reads the row of the version that the
// plan would become. If the row exists, it names the plan that was confirmed. If
// the row is absent after a conflict, the head row shows the reason.
type Confirmation struct {
	proposal       Proposal
	writes         int
	reads          int
	mayHaveWritten bool  // a try had an unknown outcome and may still take effect
	conflict       error // of the last write; nil unless it conflicted
	readingHead    bool  // the outstanding read is of the head row, not the version
	head           Head  // as last read
}

// NewConfirmation returns the Confirmation of a proposal.
func NewConfirmation(p Proposal) *Confirmation {
	return &Confirmation{proposal: p}
}

// Begin requests the transaction.
func (c *Confirmation) Begin() Step {
	return c.write()
}

// Written handles the result of the transaction.
func (c *Confirmation) Written(err error) Step {
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		return Confirmed{Configuration: newConfiguration(c.proposal)}
	case errors.As(err, &conflict):
		c.conflict = conflict
		return c.readVersion()
	case errors.As(err, &unknown):
		c.mayHaveWritten = true
		c.conflict = nil
		return c.readVersion()
	default:
		return c.rejectFailure(err)
	}
}

// ReadResult handles the result of the read that the last step requested.
func (c *Confirmation) ReadResult(found row.Row, err error) Step {
	switch {
	case err != nil:
		return c.rejectFailure(err)
	case c.readingHead:
		return c.headRead(found)
	default:
		return c.versionRead(found)
	}
}

func (c *Confirmation) versionRead(found row.Row) Step {
	if found.Version == 0 {
		return c.versionAbsent()
	}
	configuration, err := DecodeConfiguration(found)
	if err != nil {
		return Rejected{Err: err}
	}
	if configuration.PlanID == c.proposal.PlanID {
		return Confirmed{Configuration: configuration}
	}
	if c.head.Version > c.proposal.Base {
		return c.rejectConflict(c.head)
	}
	return c.readHead()
}

// versionAbsent handles a read that found no row of the version.
func (c *Confirmation) versionAbsent() Step {
	if c.conflict != nil {
		return c.readHead()
	}
	if c.writes >= maxWrites {
		return c.rejectFailure(&RetriesExhaustedError{Tries: c.writes})
	}
	return c.write()
}

func (c *Confirmation) headRead(found row.Row) Step {
	head, err := DecodeHead(found)
	if err != nil {
		return Rejected{Err: err}
	}
	c.head = head
	switch {
	case head.Version <= c.proposal.Base && c.mayHaveWritten:
		// An earlier try can still take effect once the other rows that it
		// changes have the expected versions.
		return c.rejectFailure(c.conflict)
	case head.Version < c.proposal.Base:
		return c.rejectConflict(head)
	case head.Version == c.proposal.Base:
		return Rejected{Err: &StaleChangeError{PlanID: c.proposal.PlanID, Err: c.conflict}}
	case c.reads >= maxReads:
		return c.rejectFailure(&RetriesExhaustedError{Tries: c.reads})
	default:
		// The head has advanced, so the row of the version now exists and
		// names the plan that was confirmed.
		return c.readVersion()
	}
}

func (c *Confirmation) rejectConflict(head Head) Step {
	return Rejected{Err: &ConflictError{PlanID: c.proposal.PlanID, Base: c.proposal.Base, Head: head}}
}

func (c *Confirmation) rejectFailure(err error) Step {
	if c.mayHaveWritten {
		return Rejected{Err: &UnknownError{PlanID: c.proposal.PlanID, Err: err}}
	}
	return Rejected{Err: &UnavailableError{PlanID: c.proposal.PlanID, Err: err}}
}

func (c *Confirmation) write() Step {
	c.writes++
	return Write{Transaction: c.proposal.transaction()}
}

func (c *Confirmation) readVersion() Step {
	c.readingHead = false
	c.reads++
	return Read{Key: c.proposal.Chain.VersionKey(c.proposal.Base + 1)}
}

func (c *Confirmation) readHead() Step {
	c.readingHead = true
	c.reads++
	return Read{Key: c.proposal.Chain.HeadKey()}
}
