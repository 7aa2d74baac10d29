package attempt

// Refuse says that this claim did not send the request and never will: the
// caller may be told that it was not run. Claim.Abandon then frees the key.
type Refuse struct {
	// Err is a *StoreError, *ExpiredError, *FingerprintError, *PhaseError or
	// *InvalidRecordError.
	Err error
	// KeyChecked reports that the table service has shown the key to be free
	// of other claims that can have run. If it is false, this submission was
	// not run, but an earlier submission under the same key may have been, and
	// keeps its own outcome; a caller that repeats a request after an unknown
	// outcome must not take this refusal for an answer about the earlier one.
	KeyChecked bool
}

func (Refuse) isStep() {}
