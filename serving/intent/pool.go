package intent

// Pool is a group of like upstreams.
type Pool struct {
	// Name names the pool; the instance list carries it for each instance.
	Name string `json:"name" validate:"required,max=63,name"`
	// Kind says what the upstreams are.
	Kind Kind `json:"kind" validate:"required,oneof=engine service"`
	// Model is the model that an engine serves; empty for a plain service.
	Model string `json:"model" validate:"required_if=Kind engine,max=63"`
	// Replicas is the number of upstreams wanted while all is well.
	Replicas int `json:"replicas" validate:"min=1,max=10000"`
	// FailureDomains are those in which instances may be started.
	FailureDomains []string `json:"failure_domains" validate:"required,max=64,unique,dive,max=63,name"`
	// MachineClasses are the classes of instance that fit, best first.
	MachineClasses []string `json:"machine_classes" validate:"required,max=16,unique,dive,max=63,name"`
	// ReclaimableShare is the largest part of the replicas that may run on
	// reclaimable instances, from 0 to 1.
	ReclaimableShare float64 `json:"reclaimable_share" validate:"min=0,max=1"`
	// FencingChecked says that the upstreams refuse an order with an old
	// fencing number.
	FencingChecked bool `json:"fencing_checked"`
	// MaxConcurrent bounds the requests in progress at one upstream.
	MaxConcurrent int `json:"max_concurrent" validate:"min=1,max=100000"`
}
