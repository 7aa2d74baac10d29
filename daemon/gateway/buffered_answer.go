package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/answer"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// bufferedAnswer is the answer of a request that is open or has ended
// recently, with the callers that still receive it.
type bufferedAnswer struct {
	id      request.ID
	log     answer.Log
	summary *request.Summary // nil until the answer has ended
	callers map[dispatch.CallerHandle]*callerState
}

// appendNew appends pieces and skips those that the answer already has.
func (b *bufferedAnswer) appendNew(pieces []request.Piece) error {
	for _, p := range pieces {
		if p.Index < b.log.Len() {
			continue
		}
		if err := b.log.Append(p); err != nil {
			return err
		}
	}
	return nil
}

// endEvent returns the event that ends a complete answer.
func (b *bufferedAnswer) endEvent() caller.EndEvent {
	return caller.EndEvent{
		Key:              b.id.Key,
		Outcome:          string(b.summary.Outcome()),
		Pieces:           b.log.Len(),
		Tokens:           b.log.Tokens(),
		Digest:           b.log.Digest(),
		Attempts:         b.summary.Attempts,
		RecomputedTokens: b.summary.RecomputedTokens,
	}
}
