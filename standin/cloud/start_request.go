package cloud

// StartRequest is the body of POST /v1/instances.
type StartRequest struct {
	// ClientToken makes the call idempotent: a second call with the same token
	// gets the instance of the first.
	ClientToken string `json:"client_token"`
	// MachineClass is the class of the machine.
	MachineClass string `json:"machine_class"`
	// FailureDomain is where to start it.
	FailureDomain string `json:"failure_domain"`
	// Reclaimable asks for an instance that can be taken at any moment.
	Reclaimable bool `json:"reclaimable"`
	// Member names the member that asks.
	Member string `json:"member"`
	// Pool names the pool of the upstream.
	Pool string `json:"pool"`
}
