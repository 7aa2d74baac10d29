package operator

// Process is a live process of the system.
type Process struct {
	// Instance is the entry instance that the process runs on.
	Instance string `json:"instance"`
	// Role is "gateway" or "controller".
	Role string `json:"role"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failure_domain"`
	// Version is the version of the configuration that the process last reported.
	Version uint64 `json:"version"`
}
