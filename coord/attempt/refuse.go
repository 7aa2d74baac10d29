package attempt

// Refuse reports that this claim did not send the request and never will. The
// caller may be told that it was not run. Claim.Abandon then frees the key.
type Refuse struct {
	// Err is a *StoreError, *ExpiredError, *FingerprintError, *PhaseError or
	// *InvalidRecordError.
	Err error
	// KeyChecked reports that a read or write of the row has shown that no other
	// claim under this key can have run. If it is false, this submission was
	// not run, but an earlier one under the same key may have been, with an
	// outcome of its own. A caller that repeats a request after an unknown
	// outcome must not take this refusal as the outcome of the earlier one.
	KeyChecked bool
}

func (Refuse) isStep() {}
