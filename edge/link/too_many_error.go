package link

import "strconv"

// TooManyError reports a connection that was refused because all links are in
// use.
type TooManyError struct {
	// MaxLinks is the bound on the number of links.
	MaxLinks int
}

// Error implements error.
func (e *TooManyError) Error() string {
	return "all " + strconv.Itoa(e.MaxLinks) + " links are in use"
}
