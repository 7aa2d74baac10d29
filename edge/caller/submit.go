package caller

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Submit is POST /v1/requests. Decode leaves the customer of the request empty:
// the credential has not been checked yet.
type Submit struct {
	// Credential is the bearer token of the caller; empty if it sent none.
	Credential string
	// Request is the request.
	Request request.Request
}

func (*Submit) isMessage() {}
