package controller

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// maxConfirmAttempts bounds how often a confirmation restarts after the head or
// the plan's row was changed by another one.
const maxConfirmAttempts = 3

// confirmJob confirms a plan: it reads the plan and the head, checks that the
// plan may be confirmed, and executes the steps of a confirmation, which
// changes the chain and the plan's row in one transaction.
type confirmJob struct {
	store        *store
	request      *storeRequest
	attempts     int
	record       *plan.Record
	row          row.Row
	head         *plan.Head
	confirmation *confirm.Confirmation
}

func (j *confirmJob) begin() {
	j.attempts++
	j.store.read(planKey(j.request.planID), j.onPlan)
}

func (j *confirmJob) onPlan(found *tableResult) {
	record, err := decodeRecord(j.request.planID, found)
	switch {
	case err != nil:
		j.fail(err)
	case record.Confirmed != nil:
		j.finish(record)
	default:
		j.record, j.row = record, found.row()
		j.store.readHead(j.onHead)
	}
}

func (j *confirmJob) onHead(head *plan.Head, err error) {
	if err != nil {
		j.fail(err)
		return
	}
	j.head = head
	err = plan.CheckConfirm(&j.record.Plan, &head.Configuration, j.store.now())
	var stale *plan.StaleError
	switch {
	case errors.As(err, &stale):
		j.rereadPlan(stale)
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
	j.confirmation = confirm.NewConfirmation(proposal)
	j.execute(j.confirmation.Begin())
}

// proposal returns the new configuration and the change of the plan's row that
// takes effect with it.
func (j *confirmJob) proposal() (confirm.Proposal, error) {
	next := plan.Apply(&j.record.Plan, &j.head.Configuration)
	confirmation := plan.Confirmation{Version: next.Version, Plan: j.request.planID, By: j.request.operator, At: j.store.now().UTC()}
	value, err := json.Marshal(plan.Head{Configuration: *next, Confirmation: confirmation})
	if err != nil {
		return confirm.Proposal{}, &plan.EncodeError{Err: err}
	}
	confirmed, err := json.Marshal(plan.Record{Plan: j.record.Plan, Confirmed: &confirmation})
	if err != nil {
		return confirm.Proposal{}, &plan.EncodeError{Err: err}
	}
	return confirm.Proposal{
		Chain:        configurationChain,
		PlanID:       j.request.planID,
		Base:         j.record.Plan.Base,
		Value:        value,
		ExtraChanges: []row.Change{{Key: j.row.Key, Expect: j.row.Version, Value: confirmed}},
	}, nil
}

func (j *confirmJob) execute(step confirm.Step) {
	switch s := step.(type) {
	case confirm.Write:
		j.store.write(s.Transaction, func(a *tableResult) {
			j.store.countUnknown(a.err)
			j.execute(j.confirmation.Written(a.err))
		})
	case confirm.Read:
		j.store.read(s.Key, func(a *tableResult) { j.execute(j.confirmation.ReadResult(a.row(), a.err)) })
	case confirm.Confirmed:
		j.onConfirmed(s.Configuration)
	case confirm.Rejected:
		j.onRejected(s.Err)
	}
}

func (j *confirmJob) onConfirmed(c confirm.Configuration) {
	head, err := decodeVersion(c)
	if err != nil {
		j.fail(err)
		return
	}
	j.store.updateHead(head)
	j.finish(&plan.Record{Plan: j.record.Plan, Confirmed: &head.Confirmation})
}

func (j *confirmJob) onRejected(err error) {
	var conflict *confirm.ConflictError
	var changed *confirm.StaleChangeError
	isConflict := errors.As(err, &conflict) || errors.As(err, &changed)
	if isConflict && j.attempts < maxConfirmAttempts {
		// The next attempt reads what won and reports it.
		j.begin()
		return
	}
	j.fail(err)
}

// rereadPlan reads the plan again after the check found that its base is not
// the head: the plan may have been confirmed between the two reads.
func (j *confirmJob) rereadPlan(stale *plan.StaleError) {
	j.store.read(planKey(j.request.planID), func(a *tableResult) {
		record, err := decodeRecord(j.request.planID, a)
		switch {
		case err != nil:
			j.fail(err)
		case record.Confirmed != nil:
			j.finish(record)
		default:
			j.failStale(stale)
		}
	})
}

// failStale reads the version that the plan was based on, reports the changes
// since then and fails.
func (j *confirmJob) failStale(stale *plan.StaleError) {
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
	j.store.finish(storeResult{kind: j.request.kind, requestID: j.request.requestID, err: err})
}

func (j *confirmJob) finish(record *plan.Record) {
	j.store.finish(storeResult{kind: j.request.kind, requestID: j.request.requestID, record: record})
}
