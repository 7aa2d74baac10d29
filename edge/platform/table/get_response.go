package table

// getResponse is the response body of GetItem.
type getResponse struct {
	Item item
}
