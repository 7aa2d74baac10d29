package keys

import "strconv"

// InvalidIdentityError reports an identity that can't be used in file names and
// URIs.
type InvalidIdentityError struct {
	// Identity is the rejected identity.
	Identity Identity
}

// Error implements error.
func (e *InvalidIdentityError) Error() string {
	return strconv.Quote(e.Identity.String()) + " is not a valid process identity: role and instance consist of lower-case letters, digits, '.', '_' and '-', and begin and end with a letter or digit"
}
