package operator

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// Summary is a plan in the history.
type Summary struct {
	// ID names the plan.
	ID string `json:"id"`
	// Member is the member whose intent it is.
	Member string `json:"member"`
	// Base is the version that it was made against.
	Base uint64 `json:"base_version"`
	// Created is when it was made.
	Created time.Time `json:"created"`
	// Expires is when it can no longer be confirmed.
	Expires time.Time `json:"expires"`
	// MicrosPerHour is the cost of all members.
	MicrosPerHour intent.Micros `json:"micros_per_hour"`
	// Confirmed is nil unless the plan was confirmed.
	Confirmed *plan.Confirmation `json:"confirmed"`
}

// SummaryOf shortens a record.
func SummaryOf(r *plan.Record) Summary {
	return Summary{
		ID:            r.Plan.ID,
		Member:        r.Plan.Document.Member,
		Base:          r.Plan.Base,
		Created:       r.Plan.Created,
		Expires:       r.Plan.Expires,
		MicrosPerHour: r.Plan.MicrosPerHour(),
		Confirmed:     r.Confirmed,
	}
}
