package plan

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// Head is a confirmed configuration and who confirmed it.
type Head struct {
	// Configuration is the configuration; its version is 0 before the first
	// confirmation.
	Configuration intent.Configuration `json:"configuration"`
	// Confirmation says who confirmed it.
	Confirmation Confirmation `json:"confirmation"`
}
