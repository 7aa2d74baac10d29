package cloud

// NoticeRequest is the body of POST /standin/notice. It reclaims one instance,
// or all reclaimable instances of a failure domain.
type NoticeRequest struct {
	// InstanceID identifies one instance.
	InstanceID string `json:"instance_id,omitempty"`
	// FailureDomain is the failure domain to reclaim.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Seconds is the time until the instances end.
	Seconds float64 `json:"seconds"`
	// Silent ends the instances at once and without a notice, on-demand ones
	// too.
	Silent bool `json:"silent,omitempty"`
}
