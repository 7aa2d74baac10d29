package table

// conditionPartition and conditionPrefix are the key conditions of a query.
// They are separate because the protocol does not allow an empty prefix.
const (
	conditionPartition = "pk = :pk"
	conditionPrefix    = "pk = :pk AND begins_with(sk, :sk)"
)

// queryRequest is the request body of Query.
type queryRequest struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeValues item
	ExclusiveStartKey         item `json:",omitempty"`
	Limit                     int
	ConsistentRead            bool
}
