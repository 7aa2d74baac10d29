package objects

import "time"

// object is a stored object.
type object struct {
	body     []byte
	etag     string
	modified time.Time
}
