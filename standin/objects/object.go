package objects

import "time"

// object is an object as it is kept.
type object struct {
	body     []byte
	etag     string
	modified time.Time
}
