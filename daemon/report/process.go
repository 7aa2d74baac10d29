package report

// Process says which process a dump is of.
type Process struct {
	// Role is gateway or controller.
	Role string `json:"role"`
	// Instance names the entry instance.
	Instance string `json:"instance"`
	// FailureDomain is that of the instance.
	FailureDomain string `json:"failure_domain"`
	// Release is the version of the program.
	Release string `json:"release"`
	// PID is the process id.
	PID int `json:"pid"`
	// Threads is the number of threads of the process.
	Threads int `json:"threads"`
	// UptimeSeconds is the time since the start, in seconds.
	UptimeSeconds int64 `json:"uptime_seconds"`
}
