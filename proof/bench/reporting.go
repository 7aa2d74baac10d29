package bench

import "time"

// reporting is how upstreams report.
type reporting struct {
	loadPeriod, loadLag time.Duration
	cacheLag            time.Duration
	// loadLoss and cacheLoss are the shares that never arrive.
	loadLoss, cacheLoss float64
}
