package caller

// JSONAnswer is an answer that is sent as one JSON document instead of events.
type JSONAnswer struct {
	EndEvent
	// Text is the text of the answer.
	Text string `json:"text"`
}
