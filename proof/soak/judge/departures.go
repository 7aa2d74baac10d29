package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// Departures checks the requests that one upstream has run against what it did.
func Departures(d Departure, excuses []Excuse, records []load.Record, runs []replica.Run) []Violation {
	sent := make(map[string]load.Record, len(records))
	for _, r := range records {
		sent[r.ID] = r
	}
	if d.NoneAfter.IsZero() {
		return isUsed(d, sent, runs)
	}
	var found []Violation
	late, count := time.Duration(0), 0
	for _, run := range runs {
		r, isKnown := sent[run.ID]
		isExcused := slices.ContainsFunc(excuses, func(e Excuse) bool { return e.covers(r) })
		if after := r.Start.Sub(d.NoneAfter); isKnown && !isExcused && after > 0 {
			late = max(late, after)
			count++
		}
	}
	if count > 0 {
		detail := fmt.Sprintf("%s got %d requests, the last one %v after the bound", d.Upstream, count, late)
		found = append(found, Violation{Rule: NoneToLeft, Detail: detail})
	}
	return found
}

// isUsed checks that a new upstream has got a request in time.
func isUsed(d Departure, sent map[string]load.Record, runs []replica.Run) []Violation {
	for _, run := range runs {
		if r, isKnown := sent[run.ID]; isKnown && r.Start.After(d.UsedFrom) && r.Start.Before(d.UsedBy) {
			return nil
		}
	}
	detail := fmt.Sprintf("%s got no request from %s to %s, and %d in all", d.Upstream,
		d.UsedFrom.Format(time.RFC3339Nano), d.UsedBy.Format(time.RFC3339Nano), len(runs))
	return []Violation{{Rule: NewInUse, Detail: detail}}
}
