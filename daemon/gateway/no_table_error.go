package gateway

// NoTableError is the cause when no table service is set.
type NoTableError struct{}

// Error implements error.
func (*NoTableError) Error() string {
	return "no table service is set"
}
