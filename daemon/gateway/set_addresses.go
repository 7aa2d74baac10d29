package gateway

// setAddresses replaces the gateways that refused or redirected callers are
// told of.
type setAddresses struct {
	gateways []NamedAddress
}

func (setAddresses) isDeliveryMessage() {}
