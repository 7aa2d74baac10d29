package check

import (
	"encoding/json"
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/witness"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
)

// History returns all violations of the invariants in a history.
func History(records []callers.Record, runs *witness.Runs, allowed Allowed) []*Violation {
	var found []*Violation
	for i := range records {
		found = append(found, submission(&records[i], allowed)...)
	}
	for _, group := range byRequest(records) {
		if v := request(group, runs); v != nil {
			found = append(found, v)
		}
	}
	return append(found, linearizable(records, runs)...)
}

// submission checks the outcome of one caller.
func submission(r *callers.Record, allowed Allowed) []*Violation {
	switch r.Outcome {
	case callers.Completed:
		if detail := wrongAnswer(r); detail != "" {
			return violations(WholeAnswer, r, detail)
		}
	case callers.NotRun:
		if !allowed.Refused && !r.Hasty {
			return violations(NoRefusal, r, r.Reason+": "+r.Detail)
		}
	case callers.Unknown:
		if !mayBeUnknown(r, allowed) {
			return violations(NoUnknown, r, r.Reason+": "+r.Detail)
		}
	default:
		return violations(WholeAnswer, r, r.Detail)
	}
	return nil
}

func mayBeUnknown(r *callers.Record, allowed Allowed) bool {
	if r.Hasty {
		return true
	}
	if r.Kind.IsIdempotent() {
		return allowed.UnknownIdempotent
	}
	return allowed.Unknown
}

// wrongAnswer describes what is wrong with a complete response; empty if nothing is.
func wrongAnswer(r *callers.Record) string {
	if !r.Kind.IsCall() {
		n, _ := engine.CompletionLength(r.Model, "", r.Prompt, r.MaxTokens)
		if r.Text != engine.CompletionText(r.Model, "", r.Prompt, n) {
			return "the text is not the answer to the prompt: " + r.Text
		}
		return ""
	}
	var answer service.RunResponse
	if err := json.Unmarshal([]byte(r.Text), &answer); err != nil {
		return "the reply is not that of the service: " + r.Text
	}
	if answer.Key != r.Key {
		return "the reply is to the key " + answer.Key
	}
	return ""
}

// request checks all submissions of one request against its runs.
func request(group []callers.Record, runs *witness.Runs) *Violation {
	r := &group[0]
	n := runsOf(r, runs)
	switch {
	case !r.Kind.IsIdempotent() && n > 1:
		return violation(AtMostOnce, r, fmt.Sprintf("%d runs", n))
	case n > 0 && all(group, callers.NotRun):
		return violation(NotRun, r, fmt.Sprintf("%d runs; %s: %s", n, r.Reason, r.Detail))
	case n == 0 && len(runs.Missing) == 0 && some(group, callers.Completed):
		return violation(Ran, r, "no upstream has run it")
	}
	return nil
}

func runsOf(r *callers.Record, runs *witness.Runs) int {
	if r.Kind.IsCall() {
		return runs.Calls(r.Key)
	}
	return runs.Requests(r.Customer, r.Key)
}

func all(group []callers.Record, outcome callers.Outcome) bool {
	for i := range group {
		if group[i].Outcome != outcome {
			return false
		}
	}
	return true
}

func some(group []callers.Record, outcome callers.Outcome) bool {
	for i := range group {
		if group[i].Outcome == outcome {
			return true
		}
	}
	return false
}

// byRequest groups submissions of the same request, in the order of the first.
func byRequest(records []callers.Record) [][]callers.Record {
	at := make(map[string]int)
	var groups [][]callers.Record
	for _, r := range records {
		id := r.Customer + "/" + r.Key
		i, ok := at[id]
		if !ok {
			i = len(groups)
			at[id] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}

func violation(rule Rule, r *callers.Record, detail string) *Violation {
	return &Violation{Rule: rule, Customer: r.Customer, Key: r.Key, Detail: detail}
}

func violations(rule Rule, r *callers.Record, detail string) []*Violation {
	return []*Violation{violation(rule, r, detail)}
}
