package site

import "github.com/sycamorecourse/sycamorecourse/standin/engine"

// Pool is a group of like upstreams.
type Pool struct {
	// Name names the pool.
	Name string
	// Kind says what its upstreams are.
	Kind Kind
	// MachineClass is the class of the instances at the start.
	MachineClass string
	// Replicas is the number of instances at the start.
	Replicas int
	// Reclaimable is how many of them can be reclaimed.
	Reclaimable int
	// Models are served by the engines of the pool.
	Models []engine.Model
	// Adapters are served by the engines of the pool.
	Adapters []string
}
