package entry

// setReady reports that this process accepts requests.
type setReady struct{}

func (setReady) isClusterMessage() {}
