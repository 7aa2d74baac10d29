package table

// canceledError reports a transaction that took no effect, with one reason for
// each of its actions.
type canceledError struct {
	reasons []reason
}

// Error implements error.
func (*canceledError) Error() string {
	return "Transaction cancelled, please refer cancellation reasons for specific reasons"
}
