package plan

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// Cost is what a member's instances would cost, next to the agreed budget.
type Cost struct {
	// Member names the member.
	Member string `json:"member"`
	// MicrosPerHour is the cost after the confirmation.
	MicrosPerHour intent.Micros `json:"micros_per_hour"`
	// BeforeMicrosPerHour is the cost with the configuration in force.
	BeforeMicrosPerHour intent.Micros `json:"before_micros_per_hour"`
	// AgreedMicrosPerHour is the member's slice of the common budget.
	AgreedMicrosPerHour intent.Micros `json:"agreed_micros_per_hour"`
}
