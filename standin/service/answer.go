package service

// Answer is the answer to a call.
type Answer struct {
	// Key is the request key, from the header X-Request-Key.
	Key string `json:"key"`
	// Method is the method of the call.
	Method string `json:"method"`
	// Path is the path of the call.
	Path string `json:"path"`
	// BodySHA256 is the SHA-256 digest of the body, in hexadecimal.
	BodySHA256 string `json:"body_sha256"`
	// Run is 1 for the first run of the key, 2 for the second, and so on.
	Run int `json:"run"`
}
