package link

import "strconv"

// TooManyLinksError reports a connection that was refused because all links are in
// use.
type TooManyLinksError struct {
	// Remote is true if the peer refused the connection.
	Remote bool
	// MaxLinks is the limit of this process; 0 if the peer refused.
	MaxLinks int
}

// Error implements error.
func (e *TooManyLinksError) Error() string {
	if e.Remote {
		return "all links of the peer are in use"
	}
	return "all " + strconv.Itoa(e.MaxLinks) + " links are in use"
}
