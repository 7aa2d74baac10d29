package controller

// operatorsDump is the state of the operators duty.
type operatorsDump struct {
	// Open is the number of requests that wait for their answer.
	Open int `json:"open"`
	// Served is the number of requests passed on since the start.
	Served uint64 `json:"served"`
	// Draining is true after a stop.
	Draining bool `json:"draining"`
}
