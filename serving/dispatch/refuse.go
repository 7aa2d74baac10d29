package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Refuse answers one caller with a refusal.
type Refuse struct {
	// Handle is the caller.
	Handle Handle
	// Refusal says why.
	Refusal *request.Refusal
}

func (Refuse) isAction() {}
