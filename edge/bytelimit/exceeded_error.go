package bytelimit

import "strconv"

// ExceededError reports that a Budget has no bytes left for a large holder.
type ExceededError struct {
	// Limit is the size of the budget in bytes.
	Limit int64
}

// Error implements error.
func (e *ExceededError) Error() string {
	return "more than " + strconv.FormatInt(e.Limit, 10) + " bytes are kept of responses"
}
