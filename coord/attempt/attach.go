package attempt

// Attach reports that this claim holds the request and that an earlier holder
// has already sent it. The caller may resume and finish the exchange with the
// upstream, but must not send the request again.
type Attach struct {
	// Attempt is the number of the attempt.
	Attempt uint32
}

func (Attach) isStep() {}
