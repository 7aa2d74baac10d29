package operator

// Process is a live process of the system.
type Process struct {
	// Instance names the entry instance.
	Instance string `json:"instance"`
	// Role is gateway or controller.
	Role string `json:"role"`
	// FailureDomain is that of the instance.
	FailureDomain string `json:"failure_domain"`
	// Version is the configuration that the process reported last.
	Version uint64 `json:"version"`
}
