package caller

// WholeAnswer is an answer as one JSON document.
type WholeAnswer struct {
	EndEvent
	// Text is the whole text.
	Text string `json:"text"`
}
