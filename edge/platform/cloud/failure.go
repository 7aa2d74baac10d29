package cloud

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// service names the cloud in errors.
const service = "cloud"

// The codes of errors that are told apart.
const (
	codeCapacity    = "insufficient_capacity"
	codeInvalid     = "invalid_request"
	codeNotFound    = "not_found"
	codeThrottled   = "rate_exceeded"
	codeUnavailable = "unavailable"
)

// writeError says what is known of a call that changes something; nil when it
// was done.
func writeError(name string, answer collect.Answer, err error) error {
	if err != nil {
		return platform.CallError(service, err)
	}
	if answer.Status/100 == 2 {
		return nil
	}
	failed := collect.JSONError(answer)
	switch {
	case failed.Code == codeNotFound && answer.Status == http.StatusNotFound:
		return &platform.NotFoundError{Service: service, Name: name}
	case failed.Code == codeInvalid:
		return &RefusedError{Err: failed}
	case failed.Code == codeThrottled, failed.Code == codeUnavailable:
		return &platform.UnavailableError{Service: service, Err: failed}
	default:
		return &platform.UnknownError{Service: service, Err: failed}
	}
}
