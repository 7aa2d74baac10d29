package settings

// setting is one declared setting. It implements flag.Value and stores the text
// without parsing it: Load parses all settings, so that one error can report
// every invalid one.
type setting struct {
	flag string
	text string
	// allowed describes the valid values.
	allowed string
	// parse stores the value of the text and reports whether it is valid.
	parse func(string) bool
}

// String implements flag.Value.
func (s *setting) String() string {
	if s == nil {
		return ""
	}
	return s.text
}

// Set implements flag.Value. It accepts any text.
func (s *setting) Set(text string) error {
	s.text = text
	return nil
}
