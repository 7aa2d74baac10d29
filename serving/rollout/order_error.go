package rollout

// OrderError reports an order that can't be carried out.
type OrderError struct {
	// Field is the field that is missing or has an invalid value.
	Field string
}

// Error implements error.
func (e *OrderError) Error() string {
	return "roll-out order with a missing or invalid " + e.Field
}
