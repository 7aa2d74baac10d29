package settings

// Fault is one setting that is wrong.
type Fault struct {
	// Flag is the name of the flag.
	Flag string `json:"flag"`
	// Value is the text that was given.
	Value string `json:"value"`
	// Allowed says what would be right.
	Allowed string `json:"allowed"`
}
