package link

import "strconv"

// TooManyError reports a connection that was refused because all links are in
// use.
type TooManyError struct {
	// Remote is true when the peer refused.
	Remote bool
	// MaxLinks is the bound on the number of links; 0 if the peer refused.
	MaxLinks int
}

// Error implements error.
func (e *TooManyError) Error() string {
	if e.Remote {
		return "all links of the peer are in use"
	}
	return "all " + strconv.Itoa(e.MaxLinks) + " links are in use"
}
