package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/answer"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// kept is an answer that is being given, or that ended a short while ago, and
// the callers that get it.
type kept struct {
	id      request.ID
	log     answer.Log
	summary *request.Summary
	callers map[dispatch.CallerHandle]*attached
}

// add appends pieces; those that it has already are passed over.
func (k *kept) add(pieces []request.Piece) error {
	for _, p := range pieces {
		if p.Index < k.log.Len() {
			continue
		}
		if err := k.log.Append(p); err != nil {
			return err
		}
	}
	return nil
}

// end describes the end of a whole answer.
func (k *kept) end() caller.EndEvent {
	return caller.EndEvent{
		Key:              k.id.Key,
		Outcome:          string(k.summary.Outcome()),
		Pieces:           k.log.Len(),
		Tokens:           k.log.Tokens(),
		Digest:           k.log.Digest(),
		Attempts:         k.summary.Attempts,
		RecomputedTokens: k.summary.RecomputedTokens,
	}
}
