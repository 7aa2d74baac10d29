package plan

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// CheckConfirm returns nil if a plan can be confirmed on top of the configuration
// in force, and otherwise an *AlteredError, *StaleError, *ExpiredError or
// *OverBudgetError.
func CheckConfirm(p *Plan, head *intent.Configuration, now time.Time) error {
	if !p.matchesDigest() {
		return &AlteredError{Plan: p.ID}
	}
	if p.Base != head.Version {
		return &StaleError{Plan: p.ID, Base: p.Base, Head: head.Version, HeadPlan: head.Plan}
	}
	if now.After(p.Expires) {
		return &ExpiredError{Plan: p.ID, Expired: p.Expires}
	}
	return checkBudget(p)
}

// Apply returns the configuration that follows head when a plan is confirmed.
func Apply(p *Plan, head *intent.Configuration) *intent.Configuration {
	return &intent.Configuration{
		Version:            head.Version + 1,
		Plan:               p.ID,
		TotalMicrosPerHour: p.TotalMicrosPerHour,
		Documents:          replaceDocument(head, &p.Document),
	}
}

// ChangesBetween returns the changes from one configuration to a later one over
// all members. The name of each change begins with the member.
func ChangesBetween(base, head *intent.Configuration) []Change {
	var changes []Change
	seen := map[string]bool{}
	for _, d := range append(append([]intent.Document(nil), base.Documents...), head.Documents...) {
		if seen[d.Member] {
			continue
		}
		seen[d.Member] = true
		for _, c := range diff(documentOf(base, d.Member), documentOf(head, d.Member)) {
			c.Name = d.Member + ": " + c.Name
			changes = append(changes, c)
		}
	}
	return changes
}

// checkBudget checks the cost of the plan's member against its slice of the
// common budget, and the sum of the slices and of the costs against the total.
func checkBudget(p *Plan) error {
	var agreed intent.Micros
	for _, c := range p.Costs {
		agreed += c.AgreedMicrosPerHour
		// Another member that exceeds its slice doesn't block this plan.
		if c.Member == p.Document.Member && c.MicrosPerHour > c.AgreedMicrosPerHour {
			return &OverBudgetError{Plan: p.ID, Budget: c.Member, MicrosPerHour: c.MicrosPerHour, AgreedMicrosPerHour: c.AgreedMicrosPerHour}
		}
	}
	if agreed > p.TotalMicrosPerHour {
		return &OverBudgetError{Plan: p.ID, Budget: "all slices", MicrosPerHour: agreed, AgreedMicrosPerHour: p.TotalMicrosPerHour}
	}
	if cost := p.MicrosPerHour(); cost > p.TotalMicrosPerHour {
		return &OverBudgetError{Plan: p.ID, Budget: "total", MicrosPerHour: cost, AgreedMicrosPerHour: p.TotalMicrosPerHour}
	}
	return nil
}
