package objects

import "time"

// contents is an object in a list.
type contents struct {
	Key          string    `xml:"Key"`
	ETag         string    `xml:"ETag"`
	Size         int       `xml:"Size"`
	LastModified time.Time `xml:"LastModified"`
}
