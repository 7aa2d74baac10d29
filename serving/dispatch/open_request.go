package dispatch

// OpenRequest describes an open request in a Snapshot.
type OpenRequest struct {
	// Customer names the customer, qualified by its member.
	Customer string `json:"customer"`
	// Key is the idempotency key.
	Key string `json:"key"`
	// Phase is queued, claiming, running or handing_over.
	Phase string `json:"phase"`
	// Upstream names the instance that runs the request; empty for none.
	Upstream string `json:"upstream"`
	// Attempt is the number of the current or last attempt; 0 before the first.
	Attempt int `json:"attempt"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens"`
	// AgeMillis is the time since the arrival, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}
