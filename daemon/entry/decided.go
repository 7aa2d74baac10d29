package entry

// decided is the result of fixing the counts of a window.
type decided struct {
	window int64
	err    error
}

func (decided) isClusterMessage() {}
