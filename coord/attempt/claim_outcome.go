package attempt

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

func (c *Claim) writeOutcome(call string, state State, answer Answer) (Step, error) {
	if c.phase != phaseSent {
		return nil, &PhaseError{ID: c.record.ID, Call: call, Phase: c.phase.String()}
	}
	c.phase = phaseFinishing
	c.record.State = state
	c.record.Answer = answer
	c.writes = 0
	return c.write(), nil
}

func (c *Claim) outcomeWritten(err error) Step {
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		return c.end(Done{})
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return Read{Key: c.record.ID.RowKey()}
	default:
		return c.end(Done{Err: &StoreError{ID: c.record.ID, Err: err}})
	}
}

// outcomeRead writes the outcome again unless the row already has it or belongs
// to another claim. It corrects a row that a Resolver changed to Unknown.
func (c *Claim) outcomeRead(found row.Row, err error) Step {
	if err != nil {
		return c.end(Done{Err: &StoreError{ID: c.record.ID, Err: err}})
	}
	if found.Version != 0 {
		record, err := DecodeRecord(found)
		if err != nil {
			return c.end(Done{Err: &InvalidRecordError{ID: c.record.ID, Err: err}})
		}
		isOwn := record.belongsTo(c.record.Holder, c.record.Nonce)
		if !isOwn || record.State == c.record.State {
			return c.end(Done{})
		}
	}
	if c.writes >= maxWrites {
		return c.end(Done{Err: &StoreError{ID: c.record.ID, Err: &RetriesExhaustedError{Tries: c.writes}}})
	}
	c.version = found.Version
	return c.write()
}
