package table

// queryResponse is the response body of Query: one page.
type queryResponse struct {
	Items            []item
	LastEvaluatedKey item
}
