package reclaim

import "time"

// Notice announces that the cloud will reclaim an instance.
type Notice struct {
	// Instance is the ID of the instance. The list may not show it yet, or no
	// longer.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of the instance; empty if the cloud does
	// not say.
	FailureDomain string `json:"failure_domain"`
	// Ends is the wall-clock time at which the instance ends; zero if unknown.
	Ends time.Time `json:"ends"`
}
