package attempt

// Request identifies a request to be claimed.
type Request struct {
	// ID names the request.
	ID ID
	// Fingerprint is the digest of its content.
	Fingerprint Fingerprint
	// Created is the wall time in seconds since 1970, used only to remove old
	// rows.
	Created int64
}
