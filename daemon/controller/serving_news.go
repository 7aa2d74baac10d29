package controller

// servingNews says which engines serve what is wanted. It is not changed once
// sent.
type servingNews struct {
	instances map[string]bool
}
