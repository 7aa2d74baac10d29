package confirm

// Rejected ends a confirmation without success.
type Rejected struct {
	// Err says why. A *ConflictError, *StaleChangeError or *InvalidError: the
	// plan has not taken effect. An *UnavailableError: this confirmation had
	// no effect. An *UnknownError: the plan may have taken effect or may still
	// do so, and is to be confirmed again.
	Err error
}

func (Rejected) isStep() {}
