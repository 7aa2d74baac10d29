package table

// The types of errors that the protocol names.
const (
	typePrefix      = "com.amazonaws.dynamodb.v20120810#"
	typeCanceled    = typePrefix + "TransactionCanceledException"
	typeThrottled   = typePrefix + "ProvisionedThroughputExceededException"
	typeInternal    = typePrefix + "InternalServerError"
	typeUnavailable = typePrefix + "ServiceUnavailable"
	typeValidation  = "com.amazon.coral.validate#ValidationException"
	typeUnknown     = "com.amazon.coral.service#UnknownOperationException"
)

// failure is the body of an error.
type failure struct {
	Type                string   `json:"__type"`
	Message             string   `json:"message"`
	CancellationReasons []reason `json:"CancellationReasons,omitempty"`
}
