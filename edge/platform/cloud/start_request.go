package cloud

// StartRequest is the request to start an instance.
type StartRequest struct {
	// ClientToken makes the call idempotent: a second call with the same token
	// returns the instance of the first.
	ClientToken string `json:"client_token"`
	// MachineClass is the class of the machine.
	MachineClass string `json:"machine_class"`
	// FailureDomain is the failure domain in which to start it.
	FailureDomain string `json:"failure_domain"`
	// Reclaimable requests an instance that the cloud may reclaim at any time.
	Reclaimable bool `json:"reclaimable"`
	// Member is the name of the member that requests it.
	Member string `json:"member"`
	// Pool is the name of the upstream's pool.
	Pool string `json:"pool"`
}
