package operator

// UpstreamState is whether an upstream accepts new requests.
type UpstreamState string

// States of an upstream.
const (
	// Ready upstreams accept new requests.
	Ready UpstreamState = "ready"
	// Draining upstreams only complete the requests that they already run.
	Draining UpstreamState = "draining"
)
