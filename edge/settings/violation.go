package settings

// Violation describes one invalid setting.
type Violation struct {
	// Flag is the name of the flag, empty if the environment could not be read.
	Flag string `json:"flag"`
	// Value is the given text, or the error if the environment could not be read.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}
