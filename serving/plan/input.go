package plan

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Input is the input of Make.
type Input struct {
	// Document is the new intent of one member, already checked.
	Document *intent.Document
	// Head is the configuration in force.
	Head *intent.Configuration
	// TotalMicrosPerHour is the agreed limit of what all members together spend
	// an hour.
	TotalMicrosPerHour intent.Micros
	// Prices are the offers of the cloud.
	Prices price.List
	// Fleet holds the instances of all members.
	Fleet []fleet.Instance
	// Now is the wall-clock time.
	Now time.Time
	// Lifetime is the time from Now in which the plan may be confirmed.
	Lifetime time.Duration
}
