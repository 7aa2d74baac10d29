package caller

// Cancel is DELETE /v1/requests/{key}.
type Cancel struct {
	// Credential is the caller's proof of who it is.
	Credential string
	// Key names the request.
	Key string
}

func (*Cancel) isMessage() {}
