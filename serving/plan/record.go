package plan

// Record is a plan as it is stored.
type Record struct {
	// Plan is the stored plan.
	Plan Plan `json:"plan"`
	// Confirmed is the confirmation; nil until the plan is confirmed.
	Confirmed *Confirmation `json:"confirmed"`
}
