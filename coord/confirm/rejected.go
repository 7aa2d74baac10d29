package confirm

// Rejected ends a confirmation without success.
type Rejected struct {
	// Err is the reason. After a *ConflictError, *StaleChangeError or
	// *InvalidError the plan has not taken effect. After an *UnavailableError
	// this confirmation had no effect. After an *UnknownError the plan may have
	// taken effect or may still do so, and should be confirmed again.
	Err error
}

func (Rejected) isStep() {}
