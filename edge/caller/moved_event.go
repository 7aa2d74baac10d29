package caller

// MovedEvent is the data of the event "moved": another gateway has taken over the
// request, and the caller should resume it there by its key.
type MovedEvent struct {
	// Key is the key of the request.
	Key string `json:"key"`
	// Next is the index of the piece to resume from.
	Next int `json:"next"`
	// Addresses are the gateways to resume at, best first.
	Addresses []Address `json:"addresses"`
}
