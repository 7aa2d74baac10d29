package settings

// entry is one setting: its text as given and how the text becomes a value. It
// implements flag.Value and keeps a bad text for the check, so that all faults
// can be named together.
type entry struct {
	flag    string
	text    string
	allowed string
	parse   func(string) bool
}

// String implements flag.Value.
func (e *entry) String() string {
	if e == nil {
		return ""
	}
	return e.text
}

// Set implements flag.Value. It takes any text.
func (e *entry) Set(text string) error {
	e.text = text
	return nil
}
