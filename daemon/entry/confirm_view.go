package entry

// confirmView says that the list of upstreams is still as it was told.
type confirmView struct{}

func (confirmView) isDispatchMessage() {}
