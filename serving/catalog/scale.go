package catalog

import "time"

// Scale bounds how many upstreams of a service may be ordered.
type Scale struct {
	// Min is the least number for each failure domain.
	Min int
	// Max is the largest number for each failure domain.
	Max int
	// Boot is the time from an order to the first request.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream, as a share of an
	// on-demand one.
	ReclaimablePrice float64
	// Prices is the price of a second of an on-demand upstream by failure domain.
	Prices map[string]float64
}
