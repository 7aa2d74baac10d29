package entry

// usageReported is the cloud API's result for a usage report.
type usageReported struct {
	window int64
	fence  uint64
	err    error
}

func (usageReported) isClusterMessage() {}
