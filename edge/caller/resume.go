package caller

// Resume is GET /v1/requests/{key}: the answer from a piece on.
type Resume struct {
	// Credential is the caller's proof of who it is.
	Credential string
	// Key names the request.
	Key string
	// From is the index of the first piece wanted.
	From int
	// Streamed answers are sent in pieces.
	Streamed bool
}

func (*Resume) isMessage() {}
