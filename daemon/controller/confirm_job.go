package controller

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// confirmTries bounds how often a confirmation starts anew because the row of
// the plan has changed under it.
const confirmTries = 3

// confirmJob confirms a plan: it reads the plan and the head, decides whether
// the plan may be confirmed, and carries out the steps of a confirmation that
// changes the chain and the row of the plan together.
type confirmJob struct {
	store   *store
	request *storeRequest
	tries   int
	record  *plan.Record
	row     row.Row
	head    *plan.Head
	steps   *confirm.Confirmation
}

func (j *confirmJob) begin() {
	j.tries++
	j.store.read(planKey(j.request.id), j.planRead)
}

func (j *confirmJob) planRead(a *tableAnswer) {
	record, err := decodeRecord(j.request.id, a)
	switch {
	case err != nil:
		j.fail(err)
	case record.Confirmed != nil:
		j.finish(record)
	default:
		j.record, j.row = record, a.row()
		j.store.readHead(j.headRead)
	}
}

func (j *confirmJob) headRead(head *plan.Head, err error) {
	if err != nil {
		j.fail(err)
		return
	}
	j.head = head
	err = plan.CheckConfirm(&j.record.Plan, &head.Configuration, j.store.now())
	var stale *plan.StaleError
	switch {
	case errors.As(err, &stale):
		j.explain(stale)
	case err != nil:
		j.fail(err)
	default:
		j.propose()
	}
}

func (j *confirmJob) propose() {
	proposal, err := j.proposal()
	if err != nil {
		j.fail(err)
		return
	}
	j.steps = confirm.NewConfirmation(proposal)
	j.do(j.steps.Begin())
}

// proposal changes the row of the plan together with the chain.
func (j *confirmJob) proposal() (confirm.Proposal, error) {
	next := plan.Apply(&j.record.Plan, &j.head.Configuration)
	confirmation := plan.Confirmation{Version: next.Version, Plan: j.request.id, By: j.request.by, At: j.store.now().UTC()}
	value, err := json.Marshal(plan.Head{Configuration: *next, Confirmation: confirmation})
	if err != nil {
		return confirm.Proposal{}, &plan.EncodeError{Err: err}
	}
	confirmed, err := json.Marshal(plan.Record{Plan: j.record.Plan, Confirmed: &confirmation})
	if err != nil {
		return confirm.Proposal{}, &plan.EncodeError{Err: err}
	}
	return confirm.Proposal{
		Chain:        chain,
		PlanID:       j.request.id,
		Base:         j.record.Plan.Base,
		Value:        value,
		ExtraChanges: []row.Change{{Key: j.row.Key, Expect: j.row.Version, Value: confirmed}},
	}, nil
}

func (j *confirmJob) do(step confirm.Step) {
	switch s := step.(type) {
	case confirm.Write:
		j.store.write(s.Transaction, func(a *tableAnswer) {
			j.store.count(a.err)
			j.do(j.steps.Written(a.err))
		})
	case confirm.Read:
		j.store.read(s.Key, func(a *tableAnswer) { j.do(j.steps.ReadResult(a.row(), a.err)) })
	case confirm.Confirmed:
		j.confirmed(s.Configuration)
	case confirm.Rejected:
		j.rejected(s.Err)
	}
}

func (j *confirmJob) confirmed(c confirm.Configuration) {
	head, err := decodeVersion(c)
	if err != nil {
		j.fail(err)
		return
	}
	j.store.learn(head)
	j.finish(&plan.Record{Plan: j.record.Plan, Confirmed: &head.Confirmation})
}

func (j *confirmJob) rejected(err error) {
	var conflict *confirm.ConflictError
	var changed *confirm.StaleChangeError
	isConflict := errors.As(err, &conflict) || errors.As(err, &changed)
	if isConflict && j.tries < confirmTries {
		// What has won is read and explained.
		j.begin()
		return
	}
	j.fail(err)
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
			j.finish(record)
		default:
			j.readBase(stale)
		}
	})
}

// readBase reads the version that the plan was made against, to say what has
// changed since.
func (j *confirmJob) readBase(stale *plan.StaleError) {
	stale.HeadBy = j.head.Confirmation.By
	j.store.readVersion(stale.Base, func(base *plan.Head, err error) {
		if err != nil {
			base = &plan.Head{}
		}
		stale.Changed = plan.ChangesBetween(&base.Configuration, &j.head.Configuration)
		j.fail(stale)
	})
}

func (j *confirmJob) fail(err error) {
	j.store.finish(storeResult{kind: j.request.kind, ticket: j.request.ticket, err: err})
}

func (j *confirmJob) finish(record *plan.Record) {
	j.store.finish(storeResult{kind: j.request.kind, ticket: j.request.ticket, record: record})
}
