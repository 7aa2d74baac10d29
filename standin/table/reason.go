package table

// The codes of a cancellation reason.
const (
	codeNone   = "None"
	codeFailed = "ConditionalCheckFailed"
)

// reason says what one action of a canceled transaction found.
type reason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}
