package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// lookUp reads the record of a request that this gateway does not know, to find
// its answer or the gateway that has it.
func (c *Core) lookUp(a Attach) {
	if known := c.lookups[a.ID]; known != nil {
		known.waiting = append(known.waiting, a)
		return
	}
	if len(c.lookups) >= c.cfg.MaxRequests {
		c.refuse(a.Handle, request.Overloaded, "too many records are being read", 0)
		return
	}
	c.lastSeq++
	c.lookups[a.ID] = &lookup{serial: c.lastSeq, waiting: []Attach{a}}
	key := attempt.ID{Customer: a.ID.Customer, Key: a.ID.Key}.Row()
	c.do(ReadRow{ID: a.ID, Serial: c.lastSeq, Key: key})
}

// lookedUp answers those who wait for a record. It returns false when the read
// was not a look-up.
func (c *Core) lookedUp(id request.ID, serial uint64, found row.Row, err error, now clock.Instant) bool {
	l := c.lookups[id]
	if l == nil || l.serial != serial {
		return false
	}
	delete(c.lookups, id)
	if c.entries[id] != nil {
		for _, a := range l.waiting {
			c.attach(c.entries[id], a.Handle, a.From)
		}
		return true
	}
	refusal := c.recall(id, found, err, now)
	for _, a := range l.waiting {
		if refusal != nil {
			c.do(Refuse{Handle: a.Handle, Refusal: refusal})
			continue
		}
		c.do(a)
	}
	return true
}

// recall makes a completed request known, or says why it can't.
func (c *Core) recall(id request.ID, found row.Row, err error, now clock.Instant) *request.Refusal {
	if err != nil {
		refusal := notRun(request.StoreUnavailable, "the record of the request can't be read", retryPause)
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
	kept, err := decodeRecorded(record.Answer.Inline)
	if err != nil || kept == nil || !c.makeRoom() {
		return heldElsewhere(record)
	}
	c.remember(id, record, kept, now)
	return nil
}

// heldElsewhere names the gateway that has a request.
func heldElsewhere(record attempt.Record) *request.Refusal {
	return &request.Refusal{
		Outcome: request.OutcomeUnknown,
		Reason:  request.Duplicate,
		Detail:  "the request was made at gateway " + record.Holder.Instance,
		Gateway: record.Holder.Instance,
	}
}

// remember keeps the answer of a recorded request as that of an ended one.
func (c *Core) remember(id request.ID, record attempt.Record, kept *recordedAnswer, now clock.Instant) {
	c.lastSeq++
	e := &entry{
		seq:         c.lastSeq,
		request:     request.Request{ID: id},
		fingerprint: record.Fingerprint,
		isAccepted:  true,
		phase:       phaseEnded,
		arrived:     now,
		ended:       now,
		summary:     request.Summary{Reply: kept.Reply, Attempts: int(record.Attempt)},
	}
	e.complete(kept)
	c.entries[id] = e
	c.bySeq[e.seq] = e
	c.wake(e, now.Add(c.cfg.Retention))
	c.do(Recall{ID: id, Pieces: e.log.From(0), Summary: e.summary})
}
