package link

// AdvertiseError reports that there is no address to advertise to other
// processes: this one listens on the unspecified address and Config.Self has no
// LinkAddress.
type AdvertiseError struct {
	// Address is the listen address.
	Address string
}

// Error implements error.
func (e *AdvertiseError) Error() string {
	return "other processes can't dial the listen address " + e.Address + ", and no link address is configured"
}
