package entry

// reported is the result of a usage report.
type reported struct {
	window int64
	fence  uint64
	err    error
}

func (reported) isClusterMessage() {}
