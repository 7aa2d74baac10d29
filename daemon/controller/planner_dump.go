package controller

import "github.com/sycamorecourse/sycamorecourse/edge/operator"

// plannerDump is the state dump of the planner duty.
type plannerDump struct {
	// Version is the configuration in force.
	Version uint64 `json:"version"`
	// Plan is the ID of the plan that produced the configuration.
	Plan string `json:"plan"`
	// Commands is the number of commands in progress.
	Commands int `json:"commands"`
	// Waiters is the number of confirmations that wait until all processes have
	// the version.
	Waiters int `json:"waiters"`
	// Prices is the number of known offers.
	Prices int `json:"prices"`
	// Instances is the number of known instances.
	Instances int `json:"instances"`
	// Processes lists the processes and their versions.
	Processes []operator.Process `json:"processes"`
}
