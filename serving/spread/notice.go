package spread

import "time"

// Notice announces that the cloud is about to reclaim an instance. The cloud
// never withdraws a notice, so any process may publish one without the lease of
// the fleet.
type Notice struct {
	// Instance is the ID of the instance.
	Instance string `cbor:"1,keyasint"`
	// Ends is the wall-clock time at which the instance ends; zero if unknown.
	Ends time.Time `cbor:"2,keyasint"`
}
