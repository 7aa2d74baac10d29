package confirm

// Rejected ends a confirmation without success.
type Rejected struct {
	// Err is a *ConflictError, *StaleChangeError, *UnavailableError or
	// *InvalidError: the plan has not taken effect and this confirmation will
	// not change that. Or it is an *UnknownError: the plan may have taken
	// effect or may still do so, and is to be confirmed again.
	Err error
}

func (Rejected) isStep() {}
