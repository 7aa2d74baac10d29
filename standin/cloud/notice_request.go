package cloud

// NoticeRequest is the body of POST /standin/notice. It names an instance or a
// failure domain, of which all reclaimable instances are taken.
type NoticeRequest struct {
	// InstanceID names one instance.
	InstanceID string `json:"instance_id,omitempty"`
	// FailureDomain names a failure domain.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Seconds is the time until the instances end.
	Seconds float64 `json:"seconds"`
	// Silent ends the instances without a notice, on-demand ones too.
	Silent bool `json:"silent,omitempty"`
}
