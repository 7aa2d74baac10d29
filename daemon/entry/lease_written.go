package entry

// leaseWritten is the result of a lease.Write step.
type leaseWritten struct {
	err error
}

func (leaseWritten) isClusterMessage() {}
