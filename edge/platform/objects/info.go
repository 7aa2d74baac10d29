package objects

// Info describes an object in a list.
type Info struct {
	// Key is the key of the object.
	Key string `xml:"Key"`
	// ETag identifies the content.
	ETag string `xml:"ETag"`
	// Size is the size of the content in bytes.
	Size int64 `xml:"Size"`
}
