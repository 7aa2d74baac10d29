package report

// Section is the part of a dump that one duty gives.
type Section struct {
	// Name names the section.
	Name string
	// State is any value that encodes as JSON. It must not be changed later.
	State any
}
