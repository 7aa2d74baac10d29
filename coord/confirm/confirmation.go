package confirm

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// maxWrites bounds how often the transaction is tried when its outcome is
// unknown.
const maxWrites = 3

// maxReads bounds the reads of one confirmation. A table service that shows a
// head without its version would otherwise be asked for ever.
const maxReads = 16

// Confirmation is the state machine that confirms one proposal. It is owned by
// one thread. The steps Confirmed and Rejected are final.
//
// A conflict or a lost answer is decided by the row of the version that the
// plan would be: if it is there, it names the plan that won. If it is absent
// after a conflict, the head tells why.
type Confirmation struct {
	proposal Proposal
	writes   int
	reads    int
	maybe    bool  // a try of unknown outcome is or was under way
	conflict error // of the last write
	atHead   bool  // the outstanding read is of the head
	head     Head  // as last read
}

// NewConfirmation makes the confirmation of a proposal.
func NewConfirmation(p Proposal) *Confirmation {
	return &Confirmation{proposal: p}
}

// Begin asks for the transaction.
func (c *Confirmation) Begin() Step {
	return c.write()
}

// Written takes the result of the transaction.
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
		c.maybe = true
		c.conflict = nil
		return c.readVersion()
	default:
		return c.fail(err)
	}
}

// ReadResult takes the result of the read that the last step asked for.
func (c *Confirmation) ReadResult(found row.Row, err error) Step {
	switch {
	case err != nil:
		return c.fail(err)
	case c.atHead:
		return c.headRead(found)
	default:
		return c.versionRead(found)
	}
}

func (c *Confirmation) versionRead(found row.Row) Step {
	if found.Version == 0 {
		return c.absent()
	}
	configuration, err := DecodeConfiguration(found)
	if err != nil {
		return Rejected{Err: err}
	}
	if configuration.PlanID == c.proposal.PlanID {
		return Confirmed{Configuration: configuration}
	}
	if c.head.Version > c.proposal.Base {
		return c.conflictWith(c.head)
	}
	return c.readHead()
}

// absent goes on after the row of the version was found absent.
func (c *Confirmation) absent() Step {
	if c.conflict != nil {
		return c.readHead()
	}
	if c.writes >= maxWrites {
		return c.fail(&TriesError{Tries: c.writes})
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
	case head.Version <= c.proposal.Base && c.maybe:
		// An earlier try can still land once its other rows are as expected.
		return c.fail(c.conflict)
	case head.Version < c.proposal.Base:
		return c.conflictWith(head)
	case head.Version == c.proposal.Base:
		return Rejected{Err: &StaleChangeError{PlanID: c.proposal.PlanID, Err: c.conflict}}
	case c.reads >= maxReads:
		return c.fail(&TriesError{Tries: c.reads})
	default:
		// The head has moved on: the row of the version now says who won.
		return c.readVersion()
	}
}

func (c *Confirmation) conflictWith(head Head) Step {
	return Rejected{Err: &ConflictError{PlanID: c.proposal.PlanID, Base: c.proposal.Base, Head: head}}
}

func (c *Confirmation) fail(err error) Step {
	if c.maybe {
		return Rejected{Err: &UnknownError{PlanID: c.proposal.PlanID, Err: err}}
	}
	return Rejected{Err: &UnavailableError{PlanID: c.proposal.PlanID, Err: err}}
}

func (c *Confirmation) write() Step {
	c.writes++
	return Write{Transaction: c.proposal.transaction()}
}

func (c *Confirmation) readVersion() Step {
	c.atHead = false
	c.reads++
	return Read{Key: c.proposal.Chain.Version(c.proposal.Base + 1)}
}

func (c *Confirmation) readHead() Step {
	c.atHead = true
	c.reads++
	return Read{Key: c.proposal.Chain.Head()}
}
