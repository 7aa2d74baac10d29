package route

// Policy names a way to choose among the replicas that can take a request.
type Policy string

// The policies.
const (
	// RoundRobin takes the replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastRequests takes the replica with the fewest requests in progress.
	LeastRequests Policy = "least_requests"
)

// DefaultPolicy is the policy of a zero Config.
const DefaultPolicy = LeastRequests
