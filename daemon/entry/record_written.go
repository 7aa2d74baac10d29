package entry

// recordWritten is the result of writing this gateway's record.
type recordWritten struct {
	err error
}

func (recordWritten) isClusterMessage() {}
