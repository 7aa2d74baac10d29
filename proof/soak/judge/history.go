package judge

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// History checks the records of all callers against the runs of all upstreams.
func History(records []load.Record, runs []replica.Run) []Violation {
	var found []Violation
	sent := make(map[string]load.Record, len(records))
	for _, r := range records {
		sent[r.ID] = r
	}
	ran := make(map[string]int, len(runs))
	for _, run := range runs {
		ran[run.ID]++
		r, known := sent[run.ID]
		body := ""
		if known && (r.Kind != load.Safe && r.Kind != load.Newest) {
			body = r.ID
		}
		if !known || run.Path != r.Path || string(run.Body) != body ||
			run.Customer() != world.Customer || run.Credential() != "" {
			found = append(found, Violation{Rule: Unchanged, ID: run.ID, Detail: fmt.Sprintf("%s %q %v", run.Path, run.Body, run.Header)})
		}
	}
	for _, r := range records {
		found = append(found, one(r, ran[r.ID])...)
	}
	return append(found, versions(records)...)
}

// one checks one request, given how often it ran.
func one(r load.Record, ran int) []Violation {
	var found []Violation
	note := func(rule Rule, detail string) {
		found = append(found, Violation{Rule: rule, ID: r.ID, Detail: fmt.Sprintf("%s (%s, status %d, %d runs, %v)", detail, r.Kind, r.Status, ran, r.Err)})
	}
	if !r.Kind.MayRepeat() && ran > 1 {
		note(AtMostOnce, "it ran again")
	}
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !r.Kind.MayRepeat() && ran > 0 {
			note(TrueRefusal, "it ran")
		}
	case http.StatusOK:
		expected := answer(r)
		switch {
		case r.Receipt == "" || ran == 0:
			note(Whole, "a success without a receipt or a run")
		case r.Err == nil && r.Body != expected:
			note(Whole, fmt.Sprintf("the body is %q", r.Body))
		case r.Err != nil && !strings.HasPrefix(expected, r.Body):
			note(InOrder, fmt.Sprintf("what came is %q", r.Body))
		}
	}
	return found
}

// answer is the complete body of a successful response.
func answer(r load.Record) string {
	switch r.Kind {
	case load.Once:
		return "ok " + r.ID
	case load.Safe, load.Newest:
		return "ok "
	}
	var text strings.Builder
	for n := range world.Events {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", n+1, n+1)
	}
	return text.String()
}

// versions checks that a configuration never goes back on a connection: a route that
// was served there once is not unknown later.
func versions(records []load.Record) []Violation {
	var found []Violation
	byStart := append([]load.Record{}, records...)
	sort.Slice(byStart, func(i, j int) bool { return byStart[i].Start.Before(byStart[j].Start) })
	known := make(map[string]int)
	for _, r := range byStart {
		switch {
		case r.Kind != load.Newest || r.Connection == "":
		case r.Status == http.StatusOK:
			known[r.Connection] = max(known[r.Connection], r.Version)
		case r.Status == http.StatusNotFound && r.Version <= known[r.Connection]:
			found = append(found, Violation{Rule: NeverOlder, ID: r.ID, Detail: fmt.Sprintf("version %d after %d", r.Version, known[r.Connection])})
		}
	}
	return found
}

// Reports checks the usage reports that the platform has accepted.
func Reports(reports []duties.UsageReport) []Violation {
	var found []Violation
	counts := make(map[int64]string)
	holders := make(map[uint64]string)
	for _, r := range reports {
		text := fmt.Sprint(r.Counts)
		if before, ok := counts[r.Window]; ok && before != text {
			found = append(found, Violation{Rule: OneReport, Detail: fmt.Sprintf("window %d: %s, then %s", r.Window, before, text)})
		}
		counts[r.Window] = text
		if before, ok := holders[r.Fence]; ok && before != r.Holder {
			found = append(found, Violation{Rule: OneReport, Detail: fmt.Sprintf("number %d of %s and %s", r.Fence, before, r.Holder)})
		}
		holders[r.Fence] = r.Holder
	}
	return found
}

// Recovery checks requests that were sent after all faults had ended.
func Recovery(records []load.Record) []Violation {
	served := 0
	for _, r := range records {
		if r.Status == http.StatusOK && r.Err == nil {
			served++
		}
	}
	if served*10 < len(records)*9 || len(records) == 0 {
		return []Violation{{Rule: Recovers, Detail: fmt.Sprintf("%d of %d requests served", served, len(records))}}
	}
	return nil
}
