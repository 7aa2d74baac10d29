package operator

// Status is what a controller knows of the system.
type Status struct {
	// Controller names the instance that answered.
	Controller string `json:"controller"`
	// Version is the configuration in force as this controller knows it.
	Version uint64 `json:"version"`
	// Processes lists the live processes and their versions.
	Processes []Process `json:"processes"`
	// Pools lists the pools and their instances.
	Pools []PoolStatus `json:"pools"`
	// Leases lists the control duties and who holds them.
	Leases []LeaseStatus `json:"leases"`
}
