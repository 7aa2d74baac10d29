package dispatch

// lookup is an outstanding read of the record of a request that this gateway
// does not know.
type lookup struct {
	serial         uint64
	waitingCallers []Attach
}
