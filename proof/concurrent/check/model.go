package check

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/witness"
)

// checkTimeout bounds the check of one history.
const checkTimeout = 30 * time.Second

// model is a non-idempotent request: it runs once or not at all, and every
// caller that gets an answer gets that of the only run.
func model() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{state{}} },
		Step: func(s, _, output interface{}) []interface{} {
			return step(s.(state), output.(observation))
		},
	}
	return nondeterministic.ToModel()
}

// step returns the states that an observation can lead to.
func step(s state, o observation) []interface{} {
	switch {
	case o.isWitness:
		return seen(s, o.runs)
	case o.outcome == callers.NotRun:
		return []interface{}{s}
	case o.outcome == callers.Unknown && s.phase == absent:
		return []interface{}{s, state{phase: ran}}
	case o.outcome == callers.Unknown:
		return []interface{}{s}
	case o.outcome == callers.Completed && s.answer == "":
		return []interface{}{state{phase: ran, answer: o.answer}}
	case o.outcome == callers.Completed && s.answer == o.answer:
		return []interface{}{s}
	default:
		return nil
	}
}

// seen handles the number of runs in the audit logs.
func seen(s state, runs int) []interface{} {
	if (runs == 0 && s.phase == absent) || (runs == 1 && s.phase == ran) {
		return []interface{}{s}
	}
	return nil
}

// linearizable checks each non-idempotent request against the model.
func linearizable(records []callers.Record, runs *witness.Runs) []*Violation {
	if len(runs.Missing) > 0 {
		// The count of runs is not complete.
		return nil
	}
	var found []*Violation
	for _, group := range byRequest(records) {
		if group[0].Kind.IsIdempotent() {
			continue
		}
		if porcupine.CheckOperationsTimeout(model(), operations(group, runs), checkTimeout) != porcupine.Ok {
			found = append(found, violation(Linearizable, &group[0], "no order of the submissions explains their outcomes"))
		}
	}
	return found
}

func operations(group []callers.Record, runs *witness.Runs) []porcupine.Operation {
	var list []porcupine.Operation
	last := int64(0)
	for _, r := range group {
		list = append(list, porcupine.Operation{
			ClientId: r.Caller,
			Call:     int64(r.Start),
			Output:   observation{outcome: r.Outcome, answer: r.Text},
			Return:   int64(r.End),
		})
		last = max(last, int64(r.End))
	}
	read := observation{isWitness: true, runs: runsOf(&group[0], runs)}
	return append(list, porcupine.Operation{ClientId: len(group), Call: last + 1, Output: read, Return: last + 2})
}
