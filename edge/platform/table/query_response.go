package table

// queryResponse is one page of the answer to Query.
type queryResponse struct {
	Items            []item
	LastEvaluatedKey item
}
