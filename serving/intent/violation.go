package intent

// Violation is one invalid value of a document.
type Violation struct {
	// Path is the JSON path of the value, such as customers[2].share.
	Path string `json:"path"`
	// Problem says what is wrong and what is allowed.
	Problem string `json:"problem"`
}
