package table

// getRequest is the body of GetItem.
type getRequest struct {
	TableName      string
	Key            item
	ConsistentRead bool
}
