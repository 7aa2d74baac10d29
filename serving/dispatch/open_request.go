package dispatch

// OpenRequest is an open request, as shown in a dump.
type OpenRequest struct {
	// Customer is who asked.
	Customer string `json:"customer"`
	// Key is what the caller named the request.
	Key string `json:"key"`
	// Phase is where the request is.
	Phase string `json:"phase"`
	// Upstream names the instance that runs it; empty for none.
	Upstream string `json:"upstream"`
	// Attempt counts the attempts.
	Attempt int `json:"attempt"`
	// Tokens is the number of tokens given so far.
	Tokens int `json:"tokens"`
	// AgeMillis is the time since the arrival, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}
