package place

// Step is what to do next to get to a target.
type Step struct {
	// Starts are the instances to start.
	Starts []Option
	// Ends names the instances to end.
	Ends []string
}

// IsEmpty reports whether there is nothing to do.
func (s *Step) IsEmpty() bool {
	return len(s.Starts) == 0 && len(s.Ends) == 0
}
