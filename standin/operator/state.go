package operator

// State says whether an upstream takes new requests.
type State string

// The states.
const (
	// Ready upstreams take requests.
	Ready State = "ready"
	// Draining ones end what they have.
	Draining State = "draining"
)
