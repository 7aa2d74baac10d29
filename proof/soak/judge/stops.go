package judge

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/load"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

const (
	// excusedTime is how long after the signal a request may be sent that may still be cut
	// in the last part of the grace time, and excusedPart the part before that.
	excusedTime = 3 * time.Second
	excusedPart = 5.0 / 6
)

// Stops checks that planned stops cut no request that an upstream has begun to run.
// stopped holds when each gateway got its signal, by its address for callers.
func Stops(records []load.Record, runs []replica.Run, stopped map[string]time.Time, grace time.Duration) []Violation {
	ran := make(map[string]bool, len(runs))
	for _, run := range runs {
		ran[run.ID] = true
	}
	var found []Violation
	for _, r := range records {
		at, isStopped := stopped[r.Gateway]
		if r.Err == nil || !ran[r.ID] || !isStopped {
			continue
		}
		isExcused := r.Start.Sub(at) <= excusedTime && r.End.Sub(at) >= time.Duration(excusedPart*float64(grace))
		if !isExcused {
			detail := fmt.Sprintf("%s sent %v after the signal, cut %v after it: %v", r.Kind, r.Start.Sub(at), r.End.Sub(at), r.Err)
			found = append(found, Violation{Rule: NothingCut, ID: r.ID, Detail: detail})
		}
	}
	return found
}
