package scale

// groupKey identifies the upstreams of one service and kind in one failure
// domain, which are ordered together.
type groupKey struct {
	service       string
	failureDomain string
	reclaimable   bool
}
