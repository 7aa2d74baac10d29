package table

// queryResponse is the answer to Query. LastEvaluatedKey is absent on the last
// page.
type queryResponse struct {
	Items            []map[string]attribute `json:"Items"`
	Count            int                    `json:"Count"`
	LastEvaluatedKey map[string]attribute   `json:"LastEvaluatedKey,omitempty"`
}
