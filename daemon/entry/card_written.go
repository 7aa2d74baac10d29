package entry

// cardWritten is the result of writing the own row.
type cardWritten struct {
	err error
}

func (cardWritten) isClusterMessage() {}
