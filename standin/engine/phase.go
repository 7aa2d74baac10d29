package engine

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// Phase is where a run is in its life.
type Phase string

// The phases of a run.
const (
	// PhaseQueued waits for a slot.
	PhaseQueued Phase = "queued"
	// PhasePrefill computes its prompt.
	PhasePrefill Phase = "prefill"
	// PhaseDecode generates tokens.
	PhaseDecode Phase = "decode"
	// PhaseCompleted has generated the whole answer.
	PhaseCompleted Phase = "completed"
	// PhaseCanceled was canceled.
	PhaseCanceled Phase = "canceled"
	// PhaseExported stopped at the export of its KV cache.
	PhaseExported Phase = "exported"
	// PhaseAbandoned had no caller for too long.
	PhaseAbandoned Phase = "abandoned"
)

// isEnded reports whether the run generates nothing any more.
func (p Phase) isEnded() bool {
	switch p {
	case PhaseQueued, PhasePrefill, PhaseDecode:
		return false
	}
	return true
}

// failure returns the error that ends the streams of a run that was cut short.
func (p Phase) failure() host.FailureType {
	switch p {
	case PhaseCanceled:
		return FailureCanceled
	case PhaseExported:
		return FailureExported
	default:
		return FailureAbandoned
	}
}
