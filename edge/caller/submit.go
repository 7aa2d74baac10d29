package caller

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Submit is POST /v1/requests. The customer of the request is not known yet.
type Submit struct {
	// Credential is the caller's proof of who it is.
	Credential string
	// Request is what is asked for.
	Request request.Request
}

func (*Submit) isMessage() {}
