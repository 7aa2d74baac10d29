package gateway

// deliveryDump is the section of the delivery duty in a state dump.
type deliveryDump struct {
	Callers     int    `json:"callers"`
	Answers     int    `json:"answers"`
	AnswerBytes int    `json:"answer_bytes"`
	CallersGone uint64 `json:"callers_gone"`
}
