package table

// MissingAttributeError reports an item without pk, sk or v.
type MissingAttributeError struct{}

// Error implements error.
func (*MissingAttributeError) Error() string {
	return "an item lacks pk, sk or v"
}
