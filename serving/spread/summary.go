package spread

// Summary is the state of a Node as shown in the state dump.
type Summary struct {
	// Configuration is the version of the configuration.
	Configuration uint64 `json:"configuration"`
	// Reported is the number of processes known to hold ReportVersion.
	Reported int `json:"reported"`
	// ReportVersion is the newest configuration version that was reported.
	ReportVersion uint64 `json:"report_version"`
	// Fleet is the position of the view of the fleet.
	Fleet FleetPosition `json:"fleet"`
	// Instances is the number of instances in the view.
	Instances int `json:"instances"`
	// Peers are the IDs of the linked processes.
	Peers []string `json:"peers"`
	// Targets are the processes that the node wants links to.
	Targets []Target `json:"targets"`
	// Members are all known members, gone ones included.
	Members []Member `json:"members"`
}
