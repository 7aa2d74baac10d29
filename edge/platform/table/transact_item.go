package table

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// transactItem is one element of a transaction. Exactly one field is set.
type transactItem struct {
	Put            *action `json:",omitempty"`
	Delete         *action `json:",omitempty"`
	ConditionCheck *action `json:",omitempty"`
}

func newTransactItem(table string, change row.Change) transactItem {
	a := newAction(table, change.Expect)
	switch {
	case change.Check:
		a.Key = keyItem(change.Key)
		return transactItem{ConditionCheck: a}
	case change.Delete:
		a.Key = keyItem(change.Key)
		return transactItem{Delete: a}
	default:
		a.Item = rowItem(change)
		return transactItem{Put: a}
	}
}
