package relay

// Head is the beginning of an upstream's answer.
type Head struct {
	// Status is the HTTP status.
	Status int
	// Sealed answers carry the upstream's receipt.
	Sealed bool
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// Misdirected is true when another upstream has the address.
	Misdirected bool
}

// isSuccess reports whether the answer is one that the caller asked for.
func (h Head) isSuccess() bool {
	return h.Status >= 200 && h.Status < 300
}
