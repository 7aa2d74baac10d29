package table

import "strconv"

// The condition expressions of this subset.
const (
	conditionAbsent  = "attribute_not_exists(pk)"
	conditionVersion = "v = :e"
)

// action is a put, a delete or a condition check. A put has an item, the
// others have a key.
type action struct {
	TableName                 string               `json:"TableName"`
	Key                       map[string]attribute `json:"Key,omitempty"`
	Item                      map[string]attribute `json:"Item,omitempty"`
	ConditionExpression       string               `json:"ConditionExpression"`
	ExpressionAttributeValues map[string]attribute `json:"ExpressionAttributeValues,omitempty"`
}

// expect returns the version that the item must have; 0: it must be absent.
func (a *action) expect() (uint64, error) {
	switch a.ConditionExpression {
	case conditionAbsent:
		return 0, nil
	case conditionVersion:
		number := a.ExpressionAttributeValues[":e"].N
		if number == nil {
			return 0, &validationError{message: "value :e must be a number"}
		}
		version, err := strconv.ParseUint(*number, 10, 64)
		if err != nil || version == 0 {
			return 0, &validationError{message: "value :e is not a version"}
		}
		return version, nil
	default:
		return 0, &validationError{message: "unsupported condition: " + a.ConditionExpression}
	}
}
