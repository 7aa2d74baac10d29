package dispatch

import (
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// newAttemptID returns the ID by which an upstream knows an attempt. Customer, key and
// number of an attempt do not suffice: another gateway, an earlier run of this one, or
// this one before it forgot the request, may have sent the same.
func newAttemptID(holder attempt.Holder, e *entry) string {
	return e.request.ID.Customer + "/" + e.request.ID.Key + "#" + holder.Instance +
		"." + strconv.FormatUint(holder.Incarnation, 36) +
		"." + strconv.FormatUint(e.seq, 36) +
		"." + strconv.Itoa(e.attempt)
}

// plainAttemptID returns the ID of an attempt of a gateway whose release hands requests
// over without one.
func plainAttemptID(id request.ID, number int) string {
	return id.Customer + "/" + id.Key + "#" + strconv.Itoa(number)
}
