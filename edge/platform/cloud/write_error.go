package cloud

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// service is the name of the cloud in errors.
const service = "cloud"

// The error codes that the client distinguishes.
const (
	codeCapacity    = "insufficient_capacity"
	codeInvalid     = "invalid_request"
	codeNotFound    = "not_found"
	codeThrottled   = "rate_exceeded"
	codeUnavailable = "unavailable"
)

// writeError returns the error of a call that changes something, or nil if it
// succeeded. name is what was called, for a *platform.NotFoundError.
func writeError(name string, response collect.Response, err error) error {
	if err != nil {
		return platform.ClassifyWriteError(service, err)
	}
	if response.Status/100 == 2 {
		return nil
	}
	failed := collect.DecodeJSONError(response)
	switch {
	case failed.Code == codeNotFound && response.Status == http.StatusNotFound:
		return &platform.NotFoundError{Service: service, Name: name}
	case failed.Code == codeInvalid:
		return &RefusedError{Err: failed}
	case failed.Code == codeThrottled, failed.Code == codeUnavailable:
		return &platform.UnavailableError{Service: service, Err: failed}
	default:
		return &platform.OutcomeUnknownError{Service: service, Err: failed}
	}
}
