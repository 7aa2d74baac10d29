package caller

// AcceptedEvent is the data of the event accepted: the system owes an answer.
type AcceptedEvent struct {
	// Key names the request.
	Key string `json:"key"`
	// Gateway is the address of the gateway that has it.
	Gateway string `json:"gateway"`
}
