package plan

// Change is one value that a plan would change.
type Change struct {
	// Subject is the kind of the value.
	Subject Subject `json:"subject"`
	// Name names what the value belongs to, such as a pool, a model or a
	// customer.
	Name string `json:"name"`
	// From is the present value, as text; empty if there is none.
	From string `json:"from"`
	// To is the value after the confirmation, as text; empty if there is none.
	To string `json:"to"`
}
