package plan

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// Head is the configuration in force, or an earlier one, with its confirmation.
type Head struct {
	// Configuration is the confirmed configuration; its version is 0 before the
	// first confirmation.
	Configuration intent.Configuration `json:"configuration"`
	// Confirmation records who confirmed it and when.
	Confirmation Confirmation `json:"confirmation"`
}
