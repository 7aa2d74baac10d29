package catalog

import "time"

// Autoscaling limits how many upstreams of a service are ordered.
type Autoscaling struct {
	// Min is the least number of upstreams in each failure domain.
	Min int
	// Max is the largest number of upstreams in each failure domain.
	Max int
	// BootTime is the time from an order to the first request.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to an
	// on-demand one.
	ReclaimablePrice float64
	// OnDemandPrices holds the price per second of an on-demand upstream by failure
	// domain.
	OnDemandPrices map[string]float64
}
