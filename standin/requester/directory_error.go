package requester

import "strconv"

// DirectoryError reports a response of the directory service without addresses.
type DirectoryError struct {
	// Status is the HTTP status of the response.
	Status int
	// Body is the body of the response.
	Body string
}

// Error implements error.
func (e *DirectoryError) Error() string {
	return "directory returned no addresses: status " + strconv.Itoa(e.Status) + ", " + strconv.Quote(e.Body)
}
