package quarantine

import "time"

// Crash is the end of an upstream at which an answer was just starting.
type Crash struct {
	// Upstream is a hash of the upstream and its start.
	Upstream uint64 `cbor:"1,keyasint"`
	// At is when a gateway observed it.
	At time.Duration `cbor:"2,keyasint"`
}
