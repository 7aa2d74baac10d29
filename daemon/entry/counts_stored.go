package entry

// countsStored is the result of storing the counts of a usage window.
type countsStored struct {
	window int64
	err    error
}

func (countsStored) isClusterMessage() {}
