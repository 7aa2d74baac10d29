package host

// Faults are the fault switches of a stand-in. The zero value is no fault.
type Faults struct {
	// Down serves no call; Mode says what becomes of it.
	Down bool `json:"down"`
	// Mode is refuse, error or cut; empty is refuse.
	Mode Mode `json:"mode,omitempty"`
	// SlowMillis is the time that each call waits before it is served, in
	// milliseconds.
	SlowMillis int64 `json:"slow_ms"`
	// LoseAnswers is the number of calls that are served and then cut off
	// without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is the number of calls that are cut off and not served.
	LoseRequests int `json:"lose_requests"`
	// RefuseStart refuses new work: a completion, a call of a service, a new
	// instance.
	RefuseStart bool `json:"refuse_start"`
	// Freeze holds all answers until it is unset.
	Freeze bool `json:"freeze"`
	// ThrottlePerSecond is the number of calls served in a second; 0 is no
	// limit.
	ThrottlePerSecond float64 `json:"throttle_per_second"`
}

func (f Faults) isValid() bool {
	return f.Mode.isKnown() &&
		f.SlowMillis >= 0 &&
		f.LoseAnswers >= 0 &&
		f.LoseRequests >= 0 &&
		f.ThrottlePerSecond >= 0
}
