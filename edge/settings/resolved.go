package settings

// Resolved is a setting with the value in effect.
type Resolved struct {
	// Flag is the name of the flag.
	Flag string `json:"flag"`
	// Variable is the name of the environment variable.
	Variable string `json:"variable"`
	// Value is the text of the value in effect.
	Value string `json:"value"`
}
