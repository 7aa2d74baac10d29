package gateway

// deliveryDump is delivery's section of a dump.
type deliveryDump struct {
	Callers     int    `json:"callers"`
	Answers     int    `json:"answers"`
	AnswerBytes int    `json:"answer_bytes"`
	Gone        uint64 `json:"callers_gone"`
}
