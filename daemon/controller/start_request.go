package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// StartRequest asks the cloud for an instance.
type StartRequest struct {
	// Token makes the start idempotent.
	Token string
	// Member names the member.
	Member string
	// Pool names the pool.
	Pool string
	// Option is the kind of instance.
	Option place.Option
}
