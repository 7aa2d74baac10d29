package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Update is news for a gateway. What is nil or empty has not changed.
type Update struct {
	// Configuration is a newer confirmed configuration.
	Configuration *intent.Configuration
	// Upserts are instances that are new or have changed.
	Upserts []fleet.Instance
	// Removed are the instances that are gone.
	Removed []string
	// Gateways are the addresses of all live gateways that are not leaving, this
	// one included.
	Gateways []NamedAddress
}
