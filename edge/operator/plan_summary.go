package operator

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// PlanSummary is the entry of a plan in the History.
type PlanSummary struct {
	// ID is the ID of the plan.
	ID string `json:"id"`
	// Member is the member whose intent it is.
	Member string `json:"member"`
	// Base is the configuration version that the plan was made against.
	Base uint64 `json:"base_version"`
	// Created is when the plan was made.
	Created time.Time `json:"created"`
	// Expires is when the plan can no longer be confirmed.
	Expires time.Time `json:"expires"`
	// MicrosPerHour is the cost of the plan for all members.
	MicrosPerHour intent.Micros `json:"micros_per_hour"`
	// Confirmed is nil unless the plan was confirmed.
	Confirmed *plan.Confirmation `json:"confirmed"`
}

// SummarizePlan returns the summary of a record.
func SummarizePlan(r *plan.Record) PlanSummary {
	return PlanSummary{
		ID:            r.Plan.ID,
		Member:        r.Plan.Document.Member,
		Base:          r.Plan.Base,
		Created:       r.Plan.Created,
		Expires:       r.Plan.Expires,
		MicrosPerHour: r.Plan.MicrosPerHour(),
		Confirmed:     r.Confirmed,
	}
}
