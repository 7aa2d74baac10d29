package objects

import "time"

// listEntry describes one object in a listResult.
type listEntry struct {
	Key          string    `xml:"Key"`
	ETag         string    `xml:"ETag"`
	Size         int       `xml:"Size"`
	LastModified time.Time `xml:"LastModified"`
}
