package caller

// Resume is GET /v1/requests/{key}, which reads the answer from a given piece on.
type Resume struct {
	// Credential is the bearer token of the caller; empty if it sent none.
	Credential string
	// Key is the key of the request.
	Key string
	// From is the index of the first piece to send.
	From int
	// Streamed selects server-sent events instead of one JSON document.
	Streamed bool
}

func (*Resume) isMessage() {}
