package controller

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// confirmTries bounds how often a confirmation reads and writes again after a
// conflict or a lost answer.
const confirmTries = 4

// confirmJob confirms a plan: it reads the plan and the head, and writes both
// and the new version in one transaction that is conditional on what was read.
// After a conflict or a lost answer it reads again: the plan's own row says
// whether the confirmation took effect, whoever made it.
type confirmJob struct {
	store     *store
	request   *storeRequest
	tries     int
	record    *plan.Record
	recordRow row.Row
	headRow   row.Row
	head      *plan.Head
	next      *plan.Head
	// unsettled is the last write with an unknown outcome.
	unsettled error
}

func (j *confirmJob) begin() {
	j.tries++
	j.store.read(planKey(j.request.id), j.planRead)
}

func (j *confirmJob) planRead(a *tableAnswer) {
	record, err := decodeRecord(j.request.id, a)
	if err != nil {
		j.fail(err)
		return
	}
	j.record, j.recordRow = record, a.row()
	if record.Confirmed != nil {
		j.finish(record, nil)
		return
	}
	j.store.read(headKey(), j.headRead)
}

func (j *confirmJob) headRead(a *tableAnswer) {
	head, err := j.store.learnHead(a)
	if err != nil {
		j.fail(err)
		return
	}
	j.head, j.headRow = head, a.row()
	err = plan.CheckConfirm(&j.record.Plan, &head.Configuration, j.store.now())
	var stale *plan.StaleError
	if errors.As(err, &stale) {
		j.explain(stale)
		return
	}
	if err != nil {
		j.fail(err)
		return
	}
	j.write()
}

func (j *confirmJob) write() {
	t, err := j.transaction()
	if err != nil {
		j.fail(err)
		return
	}
	j.store.write(t, j.written)
}

// transaction is conditional on the head and the plan as read.
func (j *confirmJob) transaction() (row.Transaction, error) {
	next := plan.Next(&j.record.Plan, &j.head.Configuration)
	confirmation := plan.Confirmation{Version: next.Version, Plan: j.request.id, By: j.request.by, At: j.store.now().UTC()}
	j.next = &plan.Head{Configuration: *next, Confirmation: confirmation}
	headValue, err := json.Marshal(j.next)
	if err != nil {
		return row.Transaction{}, &plan.EncodeError{Err: err}
	}
	planValue, err := json.Marshal(plan.Record{Plan: j.record.Plan, Confirmed: &confirmation})
	if err != nil {
		return row.Transaction{}, &plan.EncodeError{Err: err}
	}
	return row.Transaction{Changes: []row.Change{
		{Key: headKey(), Expect: j.headRow.Version, Value: headValue},
		{Key: versionKey(next.Version), Value: headValue},
		{Key: planKey(j.request.id), Expect: j.recordRow.Version, Value: planValue},
	}}, nil
}

func (j *confirmJob) written(a *tableAnswer) {
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case a.err == nil:
		j.finish(&plan.Record{Plan: j.record.Plan, Confirmed: &j.next.Confirmation}, j.next)
	case errors.As(a.err, &unknown):
		j.store.unknowns++
		j.unsettled = a.err
		j.again(a.err)
	case errors.As(a.err, &conflict):
		j.again(a.err)
	default:
		j.fail(a.err)
	}
}

func (j *confirmJob) again(err error) {
	if j.tries >= confirmTries {
		j.fail(err)
		return
	}
	j.begin()
}

// explain ends the confirmation of a plan whose base is not the head. The plan
// is read again first: it may have been confirmed between the two reads.
func (j *confirmJob) explain(stale *plan.StaleError) {
	j.store.read(planKey(j.request.id), func(a *tableAnswer) {
		record, err := decodeRecord(j.request.id, a)
		switch {
		case err != nil:
			j.fail(err)
		case record.Confirmed != nil:
			j.finish(record, nil)
		default:
			// A write of this job was conditional on the base being the head, so
			// none can take effect any more.
			j.unsettled = nil
			j.readBase(stale)
		}
	})
}

// readBase reads the version that the plan was made against, to say what has
// changed since.
func (j *confirmJob) readBase(stale *plan.StaleError) {
	stale.HeadBy = j.head.Confirmation.By
	j.store.read(versionKey(stale.Base), func(a *tableAnswer) {
		base, err := decodeHead(a)
		if err != nil {
			base = &plan.Head{}
		}
		stale.Changed = plan.ChangedMeanwhile(&base.Configuration, &j.head.Configuration)
		j.fail(stale)
	})
}

// fail ends the job. While a write is unsettled the outcome is unknown,
// whatever went wrong later.
func (j *confirmJob) fail(err error) {
	if j.unsettled != nil {
		err = j.unsettled
	}
	j.store.finish(storeResult{kind: j.request.kind, ticket: j.request.ticket, err: err})
}

func (j *confirmJob) finish(record *plan.Record, head *plan.Head) {
	if head != nil && head.Configuration.Version > j.store.head.Configuration.Version {
		j.store.head = *head
	}
	j.store.finish(storeResult{kind: j.request.kind, ticket: j.request.ticket, record: record, head: head})
}
