package place

// Step is the next step from the running instances of a pool to its Target.
type Step struct {
	// Starts are the instances to start, by option.
	Starts []Option
	// Ends are the IDs of the instances to end.
	Ends []string
}

// IsEmpty reports whether there is nothing to do.
func (s *Step) IsEmpty() bool {
	return len(s.Starts) == 0 && len(s.Ends) == 0
}
