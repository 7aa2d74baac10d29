package route

import "time"

// Choice is a replica chosen for a request. It is handed back to the Router
// with each event of the request at that replica.
type Choice struct {
	// ID names the replica.
	ID string
	// Address is the IP and port of the replica.
	Address string
	// PredictedFirstToken is the predicted time until the first token.
	PredictedFirstToken time.Duration
	// CachedTokens is the predicted number of prompt tokens that the replica
	// need not compute.
	CachedTokens int
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
}
