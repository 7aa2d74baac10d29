package table

// getResponse is the answer to GetItem; Item is absent when there is none.
type getResponse struct {
	Item map[string]attribute `json:"Item,omitempty"`
}
