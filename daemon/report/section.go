package report

// Section is the part of a state dump that one duty fills in.
type Section struct {
	// Name is the name of the section.
	Name string
	// State is any value that can be encoded as JSON. It must not be modified
	// after the section was offered.
	State any
}
