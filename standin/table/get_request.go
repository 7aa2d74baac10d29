package table

// getRequest is the body of GetItem.
type getRequest struct {
	TableName      string               `json:"TableName"`
	Key            map[string]attribute `json:"Key"`
	ConsistentRead bool                 `json:"ConsistentRead"`
}
