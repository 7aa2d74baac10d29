package roster

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// Incarnation names the start of an upstream that is leaving.
type Incarnation struct {
	// ID is the ID of the upstream.
	ID string `cbor:"1,keyasint"`
	// StartedAtMillis is its start time in Unix milliseconds; 0 if unknown.
	StartedAtMillis int64 `cbor:"2,keyasint,omitempty"`
}

// IncarnationOf returns the present incarnation of an upstream.
func IncarnationOf(u *catalog.Upstream) Incarnation {
	return Incarnation{ID: u.ID, StartedAtMillis: u.StartedAtMillis}
}
