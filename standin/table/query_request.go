package table

// The key conditions of this subset.
const (
	conditionPartition = "pk = :pk"
	conditionPrefix    = "pk = :pk AND begins_with(sk, :sk)"
)

// queryRequest is the body of Query.
type queryRequest struct {
	TableName                 string               `json:"TableName"`
	KeyConditionExpression    string               `json:"KeyConditionExpression"`
	ExpressionAttributeValues map[string]attribute `json:"ExpressionAttributeValues"`
	ExclusiveStartKey         map[string]attribute `json:"ExclusiveStartKey"`
	Limit                     int                  `json:"Limit"`
	ConsistentRead            bool                 `json:"ConsistentRead"`
}
