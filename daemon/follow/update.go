package follow

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// Update is what has changed since the last update that the owner took.
type Update struct {
	// Configuration is the newest configuration; nil if it has not changed.
	Configuration *intent.Configuration
	// Upserts are the instances that are new or have changed.
	Upserts []fleet.Instance
	// Removed are the identities of instances that are no longer listed.
	Removed []string
	// Members are all members, sorted by identity; nil if none has changed.
	Members []spread.Member
}
