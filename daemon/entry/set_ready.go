package entry

// setReady says that this process takes requests.
type setReady struct{}

func (setReady) isClusterMessage() {}
