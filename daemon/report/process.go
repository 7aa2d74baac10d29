package report

// Process identifies the process that a state dump is of.
type Process struct {
	// Role is gateway or controller.
	Role string `json:"role"`
	// Instance is the name of the entry instance.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failure_domain"`
	// Release is the version of the program.
	Release string `json:"release"`
	// PID is the process id.
	PID int `json:"pid"`
	// Threads is the number of operating system threads; 0 if unknown.
	Threads int `json:"threads"`
	// UptimeSeconds is the time since the start, in seconds.
	UptimeSeconds int64 `json:"uptime_seconds"`
}
