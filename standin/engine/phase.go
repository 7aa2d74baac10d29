package engine

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// Phase is the stage of a run in its life cycle.
type Phase string

// The phases of a run.
const (
	// PhaseQueued waits for a slot.
	PhaseQueued Phase = "queued"
	// PhasePrefill computes the KV cache of the prompt.
	PhasePrefill Phase = "prefill"
	// PhaseDecode generates tokens.
	PhaseDecode Phase = "decode"
	// PhaseCompleted generated the whole completion.
	PhaseCompleted Phase = "completed"
	// PhaseCanceled was canceled.
	PhaseCanceled Phase = "canceled"
	// PhaseExported ended when its KV cache was exported.
	PhaseExported Phase = "exported"
	// PhaseAbandoned had no caller for the abandon timeout.
	PhaseAbandoned Phase = "abandoned"
)

// isEnded reports whether the phase is final.
func (p Phase) isEnded() bool {
	switch p {
	case PhaseQueued, PhasePrefill, PhaseDecode:
		return false
	}
	return true
}

// failure returns the type of the error that ends the streams of a run that did
// not complete.
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
