package entry

import "strconv"

// PollRefusedError reports that a hub did not answer a poll with news.
type PollRefusedError struct {
	// Status is the HTTP status of the response.
	Status int
	// IsTooLarge is set if the response exceeded the size limit.
	IsTooLarge bool
}

// Error implements error.
func (e *PollRefusedError) Error() string {
	if e.IsTooLarge {
		return "the news of the hub is too large"
	}
	return "the hub answered with status " + strconv.Itoa(e.Status)
}
