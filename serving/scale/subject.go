package scale

// subject is what an order is about.
type subject struct {
	service       string
	failureDomain string
	reclaimable   bool
}
