package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// StartRequest is a request to start an instance.
type StartRequest struct {
	// Token makes the start idempotent.
	Token string
	// Member names the member.
	Member string
	// Pool names the pool.
	Pool string
	// Option is the failure domain, machine class and reclaimability of the
	// instance.
	Option place.Option
}
