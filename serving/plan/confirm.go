package plan

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// CheckConfirm reports why a plan can't be confirmed on a head: it returns nil,
// an *AlteredError, *StaleError, *ExpiredError or *OverBudgetError.
func CheckConfirm(p *Plan, head *intent.Configuration, now time.Time) error {
	if !p.isSealed() {
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

// Next returns the configuration that confirming a plan gives.
func Next(p *Plan, head *intent.Configuration) *intent.Configuration {
	return &intent.Configuration{
		Version:            head.Version + 1,
		Plan:               p.ID,
		TotalMicrosPerHour: p.TotalMicrosPerHour,
		Documents:          merge(head, &p.Document),
	}
}

// ChangedMeanwhile lists what differs between the configuration that a plan was
// made against and the head.
func ChangedMeanwhile(base, head *intent.Configuration) []Change {
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

func checkBudget(p *Plan) error {
	var slices intent.Micros
	for _, c := range p.Costs {
		slices += c.AgreedMicrosPerHour
		// A member's cost is its own matter unless this plan changes it.
		if c.Member == p.Document.Member && c.MicrosPerHour > c.AgreedMicrosPerHour {
			return &OverBudgetError{Plan: p.ID, Of: c.Member, MicrosPerHour: c.MicrosPerHour, AgreedMicrosPerHour: c.AgreedMicrosPerHour}
		}
	}
	if slices > p.TotalMicrosPerHour {
		return &OverBudgetError{Plan: p.ID, Of: "all slices", MicrosPerHour: slices, AgreedMicrosPerHour: p.TotalMicrosPerHour}
	}
	if cost := p.MicrosPerHour(); cost > p.TotalMicrosPerHour {
		return &OverBudgetError{Plan: p.ID, Of: "total", MicrosPerHour: cost, AgreedMicrosPerHour: p.TotalMicrosPerHour}
	}
	return nil
}
