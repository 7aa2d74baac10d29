package controller

// operatorsDump is the state dump of the operators duty.
type operatorsDump struct {
	// Open is the number of pending requests.
	Open int `json:"open"`
	// Served is the number of commands passed to the planner since the start.
	Served uint64 `json:"served"`
	// Draining is true after the first stop.
	Draining bool `json:"draining"`
}
