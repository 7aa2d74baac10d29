package gateway

// NoTableError reports that no table service is configured.
type NoTableError struct{}

// Error implements error.
func (*NoTableError) Error() string {
	return "no table service is set"
}
