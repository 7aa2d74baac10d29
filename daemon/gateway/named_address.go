package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/caller"

// NamedAddress is the address of a gateway together with its instance.
type NamedAddress struct {
	// Instance is the name of the entry instance.
	Instance string
	// Address is the address that callers are told to use.
	Address caller.Address
}
