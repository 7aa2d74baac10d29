package limit

// Holder is another gateway that admits requests of a customer by itself.
type Holder struct {
	// Instance names the gateway.
	Instance string
	// Address is where it answers other gateways.
	Address string
}
