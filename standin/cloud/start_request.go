package cloud

// StartRequest is the body of POST /v1/instances.
type StartRequest struct {
	// ClientToken makes the call idempotent: a repeated call with the same
	// token returns the instance of the first one.
	ClientToken string `json:"client_token"`
	// MachineClass is the machine class to start.
	MachineClass string `json:"machine_class"`
	// FailureDomain is the failure domain to start the instance in.
	FailureDomain string `json:"failure_domain"`
	// Reclaimable asks for an instance that the cloud may reclaim at any time.
	Reclaimable bool `json:"reclaimable"`
	// Member is the federation member that pays for the instance.
	Member string `json:"member"`
	// Pool is the pool that the instance joins as an upstream.
	Pool string `json:"pool"`
}
