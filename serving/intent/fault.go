package intent

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is where it is, such as customers[2].share.
	Path string `json:"path"`
	// Problem is what is wrong and what is allowed.
	Problem string `json:"problem"`
}
