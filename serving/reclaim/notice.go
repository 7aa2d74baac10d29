package reclaim

import "time"

// Notice is the cloud's word that it will take an instance.
type Notice struct {
	// Instance is the ID of the instance. The list may not show it yet, or no
	// longer.
	Instance string `json:"instance"`
	// FailureDomain is where it runs; empty if the cloud does not say.
	FailureDomain string `json:"failure_domain"`
	// Ends is the time by the wall clock at which it ends.
	Ends time.Time `json:"ends"`
}
