package dispatch

// Counts holds event counters since the start of the gateway.
type Counts struct {
	// Arrived is the number of requests that arrived.
	Arrived uint64 `json:"arrived"`
	// Accepted is the number of requests that were accepted.
	Accepted uint64 `json:"accepted"`
	// Attached is the number of arrivals attached to a request known already.
	Attached uint64 `json:"attached"`
	// Refused is the number of calls that were refused on arrival. Calls that
	// the configuration does not allow are not counted.
	Refused uint64 `json:"refused"`
	// Completed is the number of requests that ended with a whole answer.
	Completed uint64 `json:"completed"`
	// NotRun is the number of queued or started requests that ended as not run.
	NotRun uint64 `json:"not_run"`
	// Unknown is the number of requests that ended with an unknown outcome.
	Unknown uint64 `json:"unknown"`
	// Attempts is the number of attempts sent to upstreams.
	Attempts uint64 `json:"attempts"`
	// Retries is the number of attempts sent that were not the first of their
	// request.
	Retries uint64 `json:"retries"`
	// Moved is the number of attempts moved away from a leaving upstream.
	Moved uint64 `json:"moved"`
	// Exported is the number of KV caches exported from upstreams.
	Exported uint64 `json:"exported"`
	// Imported is the number of KV caches imported by upstreams.
	Imported uint64 `json:"imported"`
	// HandedOver is the number of requests handed over to other gateways.
	HandedOver uint64 `json:"handed_over"`
	// TakenOver is the number of requests taken over from other gateways.
	TakenOver uint64 `json:"taken_over"`
	// Reattached is the number of reconnections to the stream of a running
	// attempt.
	Reattached uint64 `json:"reattached"`
	// Tokens is the number of tokens received from upstreams.
	Tokens uint64 `json:"tokens"`
	// RecomputedTokens is the number of tokens computed again after a move.
	RecomputedTokens uint64 `json:"recomputed_tokens"`
}
