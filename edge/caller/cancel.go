package caller

// Cancel is DELETE /v1/requests/{key}.
type Cancel struct {
	// Credential is the bearer token of the caller; empty if it sent none.
	Credential string
	// Key is the key of the request.
	Key string
}

func (*Cancel) isMessage() {}
