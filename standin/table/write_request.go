package table

// maxActions is the largest number of actions in one transaction.
const maxActions = 100

// writeRequest is the body of TransactWriteItems.
type writeRequest struct {
	TransactItems []transactItem `json:"TransactItems"`
}
