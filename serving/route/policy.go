package route

// Policy names a way to choose among the replicas that can take a request.
type Policy string

// The policies.
const (
	// RoundRobin takes the replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastRequests takes the replica with the fewest requests in progress.
	LeastRequests Policy = "least_requests"
	// Predicted takes the replica with the least predicted time to the first
	// token, without regard to prefix caches.
	Predicted Policy = "predicted"
	// PredictedCached is Predicted with the prefix caches taken into account.
	PredictedCached Policy = "predicted_cached"
)

// DefaultPolicy is the policy of a zero Config.
const DefaultPolicy = PredictedCached

func (p Policy) isKnown() bool {
	switch p {
	case RoundRobin, LeastRequests, Predicted, PredictedCached:
		return true
	default:
		return false
	}
}

func (p Policy) usesCaches() bool {
	return p == PredictedCached
}
