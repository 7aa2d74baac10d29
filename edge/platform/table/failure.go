package table

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// The types of errors that are told apart.
const (
	typeCanceled    = "TransactionCanceledException"
	typeUnavailable = "ServiceUnavailable"
	codeFailed      = "ConditionalCheckFailed"
)

// refusals are the types of errors after which surely nothing took effect.
var refusals = map[string]bool{
	"AccessDeniedException":                  true,
	"LimitExceededException":                 true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ResourceNotFoundException":              true,
	"SerializationException":                 true,
	"ThrottlingException":                    true,
	"TransactionConflictException":           true,
	"UnknownOperationException":              true,
	"UnrecognizedClientException":            true,
	"ValidationException":                    true,
}

// failure is the body of an error.
type failure struct {
	Type                string `json:"__type"`
	Message             string `json:"message"`
	CancellationReasons []reason
}

// failureOf decodes an error. Its type is empty when the body is none of the
// service's.
func failureOf(body []byte) failure {
	var f failure
	if err := json.Unmarshal(body, &f); err != nil {
		return failure{}
	}
	if _, name, ok := strings.Cut(f.Type, "#"); ok {
		f.Type = name
	}
	return f
}

// isRefusal reports whether the service surely did nothing.
func (f failure) isRefusal(status int) bool {
	if status == http.StatusServiceUnavailable {
		return f.Type == typeUnavailable
	}
	return status/100 == 4 && refusals[f.Type]
}

// conflict returns the index of the first change whose condition failed.
func (f failure) conflict() (int, bool) {
	for i, r := range f.CancellationReasons {
		if r.Code == codeFailed {
			return i, true
		}
	}
	return 0, false
}

func (f failure) err(status int) error {
	return &collect.StatusError{Status: status, Code: f.Type, Message: f.Message}
}
