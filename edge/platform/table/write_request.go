package table

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// writeRequest is the request body of TransactWriteItems.
type writeRequest struct {
	TransactItems []transactItem
}

func newWriteRequest(table string, transaction row.Transaction) writeRequest {
	request := writeRequest{TransactItems: make([]transactItem, 0, len(transaction.Changes))}
	for _, change := range transaction.Changes {
		request.TransactItems = append(request.TransactItems, newTransactItem(table, change))
	}
	return request
}
