package objects

import (
	"encoding/xml"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// service names the object store in errors.
const service = "object store"

// refusals are the codes of errors after which surely nothing was written.
var refusals = map[string]bool{
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

// failure is the body of an error.
type failure struct {
	Code    string `xml:"Code"`
	Message string `xml:"Message"`
}

func statusError(answer collect.Answer) *collect.StatusError {
	var f failure
	if err := xml.Unmarshal(answer.Body, &f); err != nil {
		f = failure{}
	}
	return &collect.StatusError{Status: answer.Status, Code: f.Code, Message: f.Message}
}

// readError says what is known of a read that failed; nil when it did not.
func readError(key string, answer collect.Answer, err error) error {
	switch {
	case err != nil:
		return platform.ReadError(service, err)
	case answer.Status == http.StatusOK:
		return nil
	case answer.Status == http.StatusNotFound && statusError(answer).Code == "NoSuchKey":
		return &platform.NotFoundError{Service: service, Name: key}
	default:
		return platform.ReadError(service, statusError(answer))
	}
}

// writeError says what is known of a write; nil when it was done.
func writeError(key string, answer collect.Answer, err error) error {
	if err != nil {
		return platform.CallError(service, err)
	}
	if answer.Status/100 == 2 {
		return nil
	}
	failed := statusError(answer)
	switch {
	case failed.Code == "PreconditionFailed", failed.Code == "NoSuchKey":
		return &ConditionError{Key: key}
	case refusals[failed.Code]:
		return &platform.UnavailableError{Service: service, Err: failed}
	default:
		return &platform.UnknownError{Service: service, Err: failed}
	}
}
