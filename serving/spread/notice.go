package spread

import "time"

// Notice says that an instance is about to be reclaimed. It is a fact of the
// cloud, so any process that learns it may pass it on, without a lease, and it
// is never taken back.
type Notice struct {
	// Instance names the instance.
	Instance string `cbor:"1,keyasint"`
	// Ends is the time by the wall clock at which it ends; zero while unknown.
	Ends time.Time `cbor:"2,keyasint"`
}
