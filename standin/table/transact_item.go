package table

// transactItem is one element of a transaction. Exactly one field is set.
type transactItem struct {
	Put            *action `json:"Put,omitempty"`
	Delete         *action `json:"Delete,omitempty"`
	ConditionCheck *action `json:"ConditionCheck,omitempty"`
}
