package roster

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// Departure names the start of an upstream that is leaving.
type Departure struct {
	// ID is the ID of the upstream.
	ID string `cbor:"1,keyasint"`
	// StartedAtMillis is its start time in Unix milliseconds; 0 if unknown.
	StartedAtMillis int64 `cbor:"2,keyasint,omitempty"`
}

// DepartureOf returns the departure of an upstream.
func DepartureOf(u *catalog.Upstream) Departure {
	return Departure{ID: u.ID, StartedAtMillis: u.StartedAtMillis}
}
