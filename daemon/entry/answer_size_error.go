package entry

import "strconv"

// AnswerSizeError reports an answer that is too large to be gathered.
type AnswerSizeError struct {
	// Limit is the largest size in bytes.
	Limit int
}

// Error implements error.
func (e *AnswerSizeError) Error() string {
	return "answer over " + strconv.Itoa(e.Limit) + " bytes"
}
