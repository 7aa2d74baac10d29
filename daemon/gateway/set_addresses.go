package gateway

// setAddresses replaces the addresses that refused callers are told to use.
type setAddresses struct {
	gateways []NamedAddress
}

func (setAddresses) isDeliveryMessage() {}
