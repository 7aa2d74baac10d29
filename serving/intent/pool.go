package intent

// Pool is a group of interchangeable upstreams.
type Pool struct {
	// Name names the pool. The cloud's list of instances has it for each one.
	Name string `json:"name" validate:"required,max=63,name"`
	// Kind is the kind of the upstreams.
	Kind Kind `json:"kind" validate:"required,oneof=engine service"`
	// Model is the model that an engine serves; empty for a plain service.
	Model string `json:"model" validate:"required_if=Kind engine,max=63"`
	// Replicas is the number of upstreams wanted in normal operation. More may
	// be started so that enough are left when a failure domain is lost.
	Replicas int `json:"replicas" validate:"min=1,max=10000"`
	// FailureDomains are the failure domains in which instances may be started.
	FailureDomains []string `json:"failure_domains" validate:"required,max=64,unique,dive,max=63,name"`
	// MachineClasses are the machine types that may be used, best first.
	MachineClasses []string `json:"machine_classes" validate:"required,max=16,unique,dive,max=63,name"`
	// ReclaimableShare is the largest part of the replicas that may run on
	// reclaimable instances, from 0 to 1.
	ReclaimableShare float64 `json:"reclaimable_share" validate:"min=0,max=1"`
	// FencingChecked is set if the upstreams refuse an order whose fencing number
	// is lower than one that they have seen.
	FencingChecked bool `json:"fencing_checked"`
	// MaxConcurrent limits the requests in progress at one upstream.
	MaxConcurrent int `json:"max_concurrent" validate:"min=1,max=100000"`
}
