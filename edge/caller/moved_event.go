package caller

// MovedEvent is the data of the event moved: another gateway goes on with the
// request, and the caller should resume there by its key.
type MovedEvent struct {
	// Key names the request.
	Key string `json:"key"`
	// Next is the index of the next piece.
	Next int `json:"next"`
	// Addresses are where to resume, best first.
	Addresses []Address `json:"addresses"`
}
