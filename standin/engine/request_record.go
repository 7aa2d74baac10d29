package engine

// RequestRecord is the audit record of a request.
type RequestRecord struct {
	// RequestID identifies the request.
	RequestID string `json:"request_id"`
	// TimesStarted is the number of runs that got a slot, and so may have
	// computed something.
	TimesStarted int `json:"times_started"`
	// Runs are sorted by arrival.
	Runs []*RunRecord `json:"runs"`
}
