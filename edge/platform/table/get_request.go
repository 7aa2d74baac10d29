package table

// getRequest is the request body of GetItem.
type getRequest struct {
	TableName      string
	Key            item
	ConsistentRead bool
}
