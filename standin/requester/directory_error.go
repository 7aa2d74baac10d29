package requester

import "strconv"

// DirectoryError reports an answer of a directory without addresses.
type DirectoryError struct {
	// Status is the status of the answer.
	Status int
	// Text is its body.
	Text string
}

// Error implements error.
func (e *DirectoryError) Error() string {
	return "directory gave no addresses: status " + strconv.Itoa(e.Status) + ", " + strconv.Quote(e.Text)
}
