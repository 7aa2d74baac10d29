package link

// AdvertiseError reports that no address is known at which other processes
// reach this one: it listens on all addresses and Self names none.
type AdvertiseError struct {
	// Address is the address listened on.
	Address string
}

// Error implements error.
func (e *AdvertiseError) Error() string {
	return "listening on " + e.Address + ", which other processes can't dial: the address for links is missing"
}
