package gateway

// offerSource is the gateway that offered a request and the correlation of the
// offer, for the reply.
type offerSource struct {
	peer        string
	correlation uint64
}
