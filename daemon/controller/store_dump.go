package controller

// storeDump is the state of the store duty.
type storeDump struct {
	// Version is the configuration in force as last read.
	Version uint64 `json:"version"`
	// Jobs is the number of requests in progress.
	Jobs int `json:"jobs"`
	// UnknownOutcomes counts the writes whose answer was lost.
	UnknownOutcomes int `json:"unknown_outcomes"`
}
