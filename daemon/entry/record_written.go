package entry

// recordWritten is the result of writing this gateway's record.
type recordWritten struct {
	// share is the Share in the record.
	share float64
	// hasEnded is set if the record says that this process has ended.
	hasEnded bool
	err      error
}

func (recordWritten) isClusterMessage() {}
