package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Refuse answers one caller with a refusal.
type Refuse struct {
	// Handle identifies the caller.
	Handle CallerHandle
	// Refusal is the error for the caller.
	Refusal *request.Refusal
}

func (Refuse) isAction() {}
