package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/caller"

// NamedAddress is the address of a gateway, with the name of its instance.
type NamedAddress struct {
	// Instance names the entry instance.
	Instance string
	// Address is what callers are told.
	Address caller.Address
}
