package subset

// candidate is an instance and its score; the lowest score is best.
type candidate struct {
	id    string
	score uint64
}
