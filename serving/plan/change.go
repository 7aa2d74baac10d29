package plan

// Change is one thing that a plan would change.
type Change struct {
	// Subject says what kind of thing changes.
	Subject Subject `json:"subject"`
	// Name names the thing, such as a pool, a model or a customer.
	Name string `json:"name"`
	// From is the present value; empty if there is none.
	From string `json:"from"`
	// To is the value after the confirmation; empty if there is none.
	To string `json:"to"`
}
