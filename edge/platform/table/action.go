package table

// conditionAbsent and conditionVersion are the conditions of a change.
const (
	conditionAbsent  = "attribute_not_exists(pk)"
	conditionVersion = "v = :e"
)

// action is a put, a delete or a condition check. A put has an item, the
// others have a key.
type action struct {
	TableName                 string
	Key                       item `json:",omitempty"`
	Item                      item `json:",omitempty"`
	ConditionExpression       string
	ExpressionAttributeValues item `json:",omitempty"`
}

func newAction(table string, expect uint64) *action {
	if expect == 0 {
		return &action{TableName: table, ConditionExpression: conditionAbsent}
	}
	return &action{
		TableName:                 table,
		ConditionExpression:       conditionVersion,
		ExpressionAttributeValues: item{":e": numberAttribute(expect)},
	}
}
