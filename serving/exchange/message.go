package exchange

// Message is a message to another gateway.
type Message interface {
	// Encode returns the message in its wire format.
	Encode() ([]byte, error)
}
