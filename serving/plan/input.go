package plan

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Input is what a plan is made from.
type Input struct {
	// Document is the intent as stated and checked.
	Document *intent.Document
	// Head is the configuration in force.
	Head *intent.Configuration
	// TotalMicrosPerHour bounds what all members together spend an hour.
	TotalMicrosPerHour intent.Micros
	// Prices are the offers of the cloud.
	Prices price.List
	// Fleet holds the instances of all members.
	Fleet []fleet.Instance
	// Now is the time by the wall clock.
	Now time.Time
	// Lifetime is how long the plan may be confirmed.
	Lifetime time.Duration
}
