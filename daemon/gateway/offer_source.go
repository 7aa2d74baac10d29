package gateway

// offerSource is where the answer to an offer goes.
type offerSource struct {
	peer        string
	correlation uint64
}
