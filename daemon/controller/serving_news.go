package controller

// servingNews says of each engine whose state was read whether it can serve. It
// is not changed once sent.
type servingNews struct {
	instances map[string]bool
}
