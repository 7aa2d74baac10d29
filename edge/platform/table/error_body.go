package table

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// The error types, and the code of a cancellation reason, that the client
// distinguishes.
const (
	typeCanceled        = "TransactionCanceledException"
	typeUnavailable     = "ServiceUnavailable"
	codeConditionFailed = "ConditionalCheckFailed"
)

// rejectionTypes holds the error types after which it is certain that nothing was
// changed.
var rejectionTypes = map[string]bool{
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

// errorBody is the JSON body of an error response.
type errorBody struct {
	Type                string `json:"__type"`
	Message             string `json:"message"`
	CancellationReasons []cancellationReason
}

// decodeErrorBody decodes the body of an error response. The type is empty if the
// body does not come from the service.
func decodeErrorBody(body []byte) errorBody {
	var f errorBody
	if err := json.Unmarshal(body, &f); err != nil {
		return errorBody{}
	}
	if _, name, ok := strings.Cut(f.Type, "#"); ok {
		f.Type = name
	}
	return f
}

// isRejection reports whether it is certain that the service changed nothing.
func (f errorBody) isRejection(status int) bool {
	if status == http.StatusServiceUnavailable {
		return f.Type == typeUnavailable
	}
	return status/100 == 4 && rejectionTypes[f.Type]
}

// conflictIndex returns the index of the first change whose condition failed.
func (f errorBody) conflictIndex() (int, bool) {
	for i, r := range f.CancellationReasons {
		if r.Code == codeConditionFailed {
			return i, true
		}
	}
	return 0, false
}

func (f errorBody) statusError(status int) error {
	return &collect.StatusError{Status: status, Code: f.Type, Message: f.Message}
}
