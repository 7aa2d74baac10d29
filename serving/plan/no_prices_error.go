package plan

// NoPricesError reports that the cost of a plan can't be computed because the
// cloud's prices have not been read yet.
type NoPricesError struct{}

// Error implements error.
func (*NoPricesError) Error() string {
	return "the prices of the cloud are not known yet"
}
