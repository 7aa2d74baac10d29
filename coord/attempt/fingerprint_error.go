package attempt

// FingerprintError reports that the key was used before for another request.
type FingerprintError struct {
	// ID names the request.
	ID ID
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return "key of request " + e.ID.String() + " was used for another request"
}
