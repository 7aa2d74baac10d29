package table

// getResponse is the answer to GetItem.
type getResponse struct {
	Item item
}
