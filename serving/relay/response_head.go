package relay

// ResponseHead is what decisions depend on in the head of an upstream's response.
type ResponseHead struct {
	// Status is the HTTP status.
	Status int
	// Sealed is true if the response carries the upstream's proof of origin. A
	// success without it counts as a failed attempt.
	Sealed bool
	// NotRun is true if the upstream reports that it did not run the request.
	NotRun bool
	// Misdirected is true if a different upstream now has the address.
	Misdirected bool
}

// isSuccess reports whether the status is 2xx.
func (h ResponseHead) isSuccess() bool {
	return h.Status >= 200 && h.Status < 300
}
