package spread

// Summary is the state of a Node, for the dump.
type Summary struct {
	// Configuration is the version of the configuration.
	Configuration uint64 `json:"configuration"`
	// Reported is the number of processes known to have ReportVersion.
	Reported int `json:"reported"`
	// ReportVersion is the newest version that there are reports of.
	ReportVersion uint64 `json:"report_version"`
	// Fleet is the position of the view of the fleet.
	Fleet Position `json:"fleet"`
	// Instances is the number of instances in the view.
	Instances int `json:"instances"`
	// Peers names the processes that there are links to.
	Peers []string `json:"peers"`
	// Targets are the processes that this one wants links to.
	Targets []Target `json:"targets"`
	// Members are all known processes.
	Members []Member `json:"members"`
}
