package objects

import (
	"encoding/xml"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// service is the name of the object store in errors.
const service = "object store"

// rejectionCodes holds the error codes after which it is certain that nothing was
// written.
var rejectionCodes = map[string]bool{
	"AccessDenied":               true,
	"ConditionalRequestConflict": true,
	"EntityTooLarge":             true,
	"InvalidArgument":            true,
	"InvalidRequest":             true,
	"MethodNotAllowed":           true,
	"NoSuchBucket":               true,
	"ServiceUnavailable":         true,
	"SlowDown":                   true,
}

// errorBody is the XML body of an error response.
type errorBody struct {
	Code    string `xml:"Code"`
	Message string `xml:"Message"`
}

// statusError decodes the error in a response.
func statusError(response collect.Response) *collect.StatusError {
	var f errorBody
	if err := xml.Unmarshal(response.Body, &f); err != nil {
		f = errorBody{}
	}
	return &collect.StatusError{Status: response.Status, Code: f.Code, Message: f.Message}
}

// readError returns the error of a read, or nil if it succeeded.
func readError(key string, response collect.Response, err error) error {
	switch {
	case err != nil:
		return platform.ClassifyReadError(service, err)
	case response.Status == http.StatusOK:
		return nil
	case response.Status == http.StatusNotFound && statusError(response).Code == "NoSuchKey":
		return &platform.NotFoundError{Service: service, Name: key}
	default:
		return platform.ClassifyReadError(service, statusError(response))
	}
}

// writeError returns the error of a write, or nil if it succeeded. The error type
// tells whether something may have been written.
func writeError(key string, response collect.Response, err error) error {
	if err != nil {
		return platform.ClassifyWriteError(service, err)
	}
	if response.Status/100 == 2 {
		return nil
	}
	failed := statusError(response)
	switch {
	case failed.Code == "PreconditionFailed", failed.Code == "NoSuchKey":
		return &ConditionError{Key: key}
	case rejectionCodes[failed.Code]:
		return &platform.UnavailableError{Service: service, Err: failed}
	default:
		return &platform.OutcomeUnknownError{Service: service, Err: failed}
	}
}
