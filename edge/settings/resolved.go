package settings

// Resolved is a setting as it is in force.
type Resolved struct {
	// Flag is the name of the flag.
	Flag string `json:"flag"`
	// Variable is the name of the environment variable.
	Variable string `json:"variable"`
	// Value is the text in force.
	Value string `json:"value"`
}
