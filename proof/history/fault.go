package history

// fault is what happens to one call of the table.
type fault uint8

const (
	none fault = iota
	unavailable
	lost
	dropped
	delayed
	doubled
)
