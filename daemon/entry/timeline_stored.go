package entry

// timelineStored is the result of storing when a timeline of the store began.
type timelineStored struct {
	timeline uint64
	err      error
}

func (timelineStored) isClusterMessage() {}
