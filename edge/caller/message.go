package caller

// Message is a decoded request of a caller: *Submit, *Resume, *Cancel,
// *ServiceCall or *AddressQuery.
type Message interface {
	isMessage()
}
