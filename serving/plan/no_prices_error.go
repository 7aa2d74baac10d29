package plan

// NoPricesError reports that the cost of a plan can't be worked out.
type NoPricesError struct{}

// Error implements error.
func (*NoPricesError) Error() string {
	return "the prices of the cloud are not known yet"
}
