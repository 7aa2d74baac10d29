package objects

// Object is an object as it was read.
type Object struct {
	// Key names the object.
	Key string
	// ETag identifies the content.
	ETag string
	// Body is the content.
	Body []byte
}
