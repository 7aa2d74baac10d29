package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// SectionName is the name of the section of the follow duty in the state dump.
const SectionName = "follow"

// Section is the section of the follow duty in the state dump.
type Section struct {
	spread.Summary
	// Undelivered reports that the owner has not taken the newest update yet.
	Undelivered bool `json:"undelivered"`
	// Waiting is the number of callers of Await.
	Waiting int `json:"waiting"`
}
