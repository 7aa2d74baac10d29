package service

// RunResponse is the response to a call that was run.
type RunResponse struct {
	// Key is the request key from the header KeyHeader.
	Key string `json:"key"`
	// Method is the method of the call.
	Method string `json:"method"`
	// Path is the path of the call.
	Path string `json:"path"`
	// BodySHA256 is the SHA-256 digest of the body, in lower-case hexadecimal.
	BodySHA256 string `json:"body_sha256"`
	// Run is 1 for the first run of the key, 2 for the second, and so on.
	Run int `json:"run"`
}
