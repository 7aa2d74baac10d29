package keys

import "strconv"

// InvalidNameError reports a name that can't be part of a file name and a URI.
type InvalidNameError struct {
	// Name is the name.
	Name Name
}

// Error implements error.
func (e *InvalidNameError) Error() string {
	return strconv.Quote(e.Name.String()) + " names no process: lower-case letters, digits, '.', '_' and '-' are allowed"
}
