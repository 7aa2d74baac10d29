package dispatch

// Counts count events since the start of the gateway.
type Counts struct {
	// Arrived is the number of requests that came.
	Arrived uint64 `json:"arrived"`
	// Accepted is the number of requests whose answer was owed.
	Accepted uint64 `json:"accepted"`
	// Attached is the number of requests that were known already.
	Attached uint64 `json:"attached"`
	// Refused is the number of requests refused at once, as not run.
	Refused uint64 `json:"refused"`
	// Completed is the number of whole answers.
	Completed uint64 `json:"completed"`
	// NotRun is the number of requests that ended as not run.
	NotRun uint64 `json:"not_run"`
	// Unknown is the number of requests that ended with an unknown outcome.
	Unknown uint64 `json:"unknown"`
	// Attempts is the number of attempts sent to upstreams.
	Attempts uint64 `json:"attempts"`
	// Retries is the number of attempts that followed a failed one.
	Retries uint64 `json:"retries"`
	// Moved is the number of attempts moved off a leaving upstream.
	Moved uint64 `json:"moved"`
	// Exported is the number of attempts moved with their KV cache.
	Exported uint64 `json:"exported"`
	// Imported is the number of attempts that went on with their KV cache.
	Imported uint64 `json:"imported"`
	// HandedOver is the number of requests given to other gateways.
	HandedOver uint64 `json:"handed_over"`
	// TakenOver is the number of requests taken from other gateways.
	TakenOver uint64 `json:"taken_over"`
	// Reattached is the number of streams taken up again.
	Reattached uint64 `json:"reattached"`
	// Tokens is the number of tokens given to callers.
	Tokens uint64 `json:"tokens"`
	// RecomputedTokens is the number of tokens computed again after a move.
	RecomputedTokens uint64 `json:"recomputed_tokens"`
}
