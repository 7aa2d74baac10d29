package bench

// ClassResult is what a run gave for one class.
type ClassResult struct {
	// Name names the class.
	Name string
	// Offered and Good count requests.
	Offered, Good int
}
