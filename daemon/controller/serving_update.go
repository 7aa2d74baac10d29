package controller

// servingUpdate reports, for each engine whose state was read, whether it can
// serve. It is immutable once sent.
type servingUpdate struct {
	instances map[string]bool
}
