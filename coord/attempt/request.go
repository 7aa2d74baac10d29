package attempt

// Request is what a claim needs to know of a request.
type Request struct {
	// ID names the request.
	ID ID
	// Fingerprint is the digest of its content.
	Fingerprint Fingerprint
	// Created is the wall time in seconds since 1970, for removing old rows.
	Created int64
}
