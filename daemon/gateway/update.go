package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Update is a change of the cluster state. A field that is nil or empty has
// not changed.
type Update struct {
	// Configuration is a newer confirmed configuration.
	Configuration *intent.Configuration
	// Upserts are instances that are new or have changed.
	Upserts []fleet.Instance
	// Removed are the identities of instances that no longer exist.
	Removed []string
	// Gateways are all live gateways that are not leaving, including this one.
	Gateways []NamedAddress
}
