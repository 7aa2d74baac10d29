package history

// FaultError is the cause of a failure that the table was told to have.
type FaultError struct{}

// Error implements error.
func (*FaultError) Error() string {
	return "fault of the simulated table"
}
