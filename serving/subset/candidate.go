package subset

// candidate is an instance and its rendezvous hash. The lowest hash wins.
type candidate struct {
	id    string
	score uint64
}
