package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/caller"

// admissionDump is the section of the admission duty in a state dump.
type admissionDump struct {
	Credentials  int              `json:"credentials"`
	Unauthorized uint64           `json:"unauthorized"`
	Overloaded   uint64           `json:"overloaded"`
	Draining     bool             `json:"leaving"`
	Addresses    []caller.Address `json:"addresses"`
}
