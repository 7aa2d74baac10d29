package table

// reason says what one change of a canceled transaction found.
type reason struct {
	Code string
}
