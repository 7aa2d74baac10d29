package entry

// leaseWritten is the result of a write that the lease asked for.
type leaseWritten struct {
	err error
}

func (leaseWritten) isClusterMessage() {}
