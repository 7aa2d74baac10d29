package table

// cancellationReason is the outcome of one change of a canceled transaction.
type cancellationReason struct {
	Code string
}
