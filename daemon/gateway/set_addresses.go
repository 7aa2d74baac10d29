package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/caller"

// setAddresses replaces the addresses that refused callers are told to use.
type setAddresses struct {
	addresses []caller.Address
}

func (setAddresses) isDeliveryMessage() {}
