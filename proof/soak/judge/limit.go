package judge

import (
	"fmt"
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// Limit checks that in no window more requests were both sent and run than allowed.
func Limit(records []load.Record, runs []replica.Run, window time.Duration, allowed int) []Violation {
	ran := make(map[string]bool, len(runs))
	for _, run := range runs {
		ran[run.ID] = true
	}
	var sent []time.Time
	for _, r := range records {
		if ran[r.ID] {
			sent = append(sent, r.Start)
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	first, most := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	if most > allowed {
		return []Violation{{Rule: WithinLimit, Detail: fmt.Sprintf("%d requests ran in a window, %d are allowed", most, allowed)}}
	}
	return nil
}
