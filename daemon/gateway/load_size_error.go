package gateway

import "strconv"

// LoadSizeError reports that an upstream's report of its load is too large.
type LoadSizeError struct{}

// Error implements error.
func (*LoadSizeError) Error() string {
	return "the report of load exceeds " + strconv.Itoa(maxLoadBytes) + " bytes"
}
