package objects

// Object is an object read from the store.
type Object struct {
	// Key is the key of the object.
	Key string
	// ETag identifies the content.
	ETag string
	// Body is the content.
	Body []byte
}
