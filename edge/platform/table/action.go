package table

// conditionAbsent and conditionVersion are the conditions of a change: the row does
// not exist, or has the expected version.
const (
	conditionAbsent  = "attribute_not_exists(pk)"
	conditionVersion = "v = :e"
)

// action is a put, a delete or a condition check. A put has an Item, the others
// have a Key.
type action struct {
	TableName                 string
	Key                       item `json:",omitempty"`
	Item                      item `json:",omitempty"`
	ConditionExpression       string
	ExpressionAttributeValues item `json:",omitempty"`
}

// newAction returns an action on the expected version of a row; 0 means that the
// row must not exist.
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
