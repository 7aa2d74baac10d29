package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// SectionName is the name of the section of the dump.
const SectionName = "follow"

// Section is the state of the duty in the dump.
type Section struct {
	spread.Summary
	// Undelivered is true while the owner has not taken the newest update.
	Undelivered bool `json:"undelivered"`
	// Waiting is the number of callers of Await.
	Waiting int `json:"waiting"`
}
