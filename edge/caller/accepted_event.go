package caller

// AcceptedEvent is the data of the event "accepted": from now on the system is
// responsible for answering the request.
type AcceptedEvent struct {
	// Key is the key of the request.
	Key string `json:"key"`
	// Gateway is the address of the gateway that handles the request.
	Gateway string `json:"gateway"`
}
