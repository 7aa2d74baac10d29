package cluster

// NameError reports a card under another key than its instance.
type NameError struct {
	// Name is the instance that the card names.
	Name string
}

// Error implements error.
func (e *NameError) Error() string {
	return "it names the instance " + e.Name
}
