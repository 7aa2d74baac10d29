package operator

// Status is the state of the system as one controller knows it.
type Status struct {
	// Controller is the instance of the controller that responded.
	Controller string `json:"controller"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Processes lists the live processes and their versions.
	Processes []Process `json:"processes"`
	// Pools lists the pools and their instances.
	Pools []PoolStatus `json:"pools"`
	// Leases lists the leases of the control duties.
	Leases []LeaseStatus `json:"leases"`
}
