package controller

// storeDump is the state dump of the store duty.
type storeDump struct {
	// Version is the version of the last configuration read.
	Version uint64 `json:"version"`
	// Jobs is the number of requests in progress.
	Jobs int `json:"jobs"`
	// UnknownOutcomes counts the writes of confirmations whose response was lost.
	UnknownOutcomes int `json:"unknown_outcomes"`
}
