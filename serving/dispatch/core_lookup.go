package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// startLookup reads the record of a request that this gateway does not know, to
// find its answer or the gateway that has it. Callers that ask for the same
// request meanwhile share the read.
func (c *Core) startLookup(a Attach) {
	if known := c.lookups[a.ID]; known != nil {
		known.waitingCallers = append(known.waitingCallers, a)
		return
	}
	if len(c.lookups) >= c.cfg.MaxRequests {
		c.refuse(a.Handle, request.Overloaded, "too many records are being read", 0)
		return
	}
	c.lastSeq++
	c.lookups[a.ID] = &lookup{serial: c.lastSeq, waitingCallers: []Attach{a}}
	key := attempt.ID{Customer: a.ID.Customer, Key: a.ID.Key}.RowKey()
	c.emit(ReadRow{ID: a.ID, Serial: c.lastSeq, Key: key})
}

// finishLookup attaches or refuses the callers that wait for a lookup. It
// returns false if the read does not belong to one.
func (c *Core) finishLookup(id request.ID, serial uint64, found row.Row, err error, now clock.Instant) bool {
	l := c.lookups[id]
	if l == nil || l.serial != serial {
		return false
	}
	delete(c.lookups, id)
	if c.entries[id] != nil {
		for _, a := range l.waitingCallers {
			c.attach(c.entries[id], a.Handle, a.From)
		}
		return true
	}
	refusal := c.restoreAnswer(id, found, err, now)
	for _, a := range l.waitingCallers {
		if refusal != nil {
			c.emit(Refuse{Handle: a.Handle, Refusal: refusal})
			continue
		}
		c.emit(a)
	}
	return true
}

// restoreAnswer adds a completed request from its record, or returns why it
// can't.
func (c *Core) restoreAnswer(id request.ID, found row.Row, err error, now clock.Instant) *request.Refusal {
	if err != nil {
		refusal := notRun(request.StoreUnavailable, "the record of the request can't be read", defaultRetryAfter)
		refusal.Outcome = request.OutcomeUnknown
		return refusal
	}
	if found.Version == 0 {
		return notRun(request.NotFound, "no request with this key is known", 0)
	}
	record, err := attempt.DecodeRecord(found)
	switch {
	case err != nil:
		return &request.Refusal{Outcome: request.OutcomeUnknown, Reason: request.NotFound, Detail: "the record of the request can't be read"}
	case record.State == attempt.NotRun:
		return notRun(request.NotFound, "the request was refused and not run", 0)
	case record.State != attempt.Completed:
		return heldElsewhere(record)
	}
	stored, err := decodeRecorded(record.Answer.Inline)
	if err != nil || stored == nil || !c.makeRoom() {
		return heldElsewhere(record)
	}
	c.addCompleted(id, record, stored, now)
	return nil
}

// heldElsewhere returns a refusal that names the gateway of the record.
func heldElsewhere(record attempt.Record) *request.Refusal {
	return &request.Refusal{
		Outcome: request.OutcomeUnknown,
		Reason:  request.Duplicate,
		Detail:  "the request was made at gateway " + record.Holder.Instance,
		Gateway: record.Holder.Instance,
	}
}

// addCompleted adds the entry of an ended request with its recorded answer.
func (c *Core) addCompleted(id request.ID, record attempt.Record, stored *recordedAnswer, now clock.Instant) {
	c.lastSeq++
	e := &entry{
		seq:         c.lastSeq,
		request:     request.Request{ID: id},
		fingerprint: record.Fingerprint,
		isAccepted:  true,
		phase:       phaseEnded,
		arrivedAt:   now,
		endedAt:     now,
		summary:     request.Summary{Reply: stored.Reply, Attempts: int(record.Attempt)},
	}
	e.appendRecorded(stored)
	c.entries[id] = e
	c.bySeq[e.seq] = e
	c.setTimer(e, now.Add(c.cfg.Retention))
	c.emit(RestoreAnswer{ID: id, Pieces: e.answer.From(0), Summary: e.summary})
}
