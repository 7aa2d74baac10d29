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
	// Slack takes the replica that computes the request at the least cost among
	// those predicted to meet the latency target with a margin, or else the one
	// with the least predicted time to the first token.
	Slack Policy = "slack"
)

// DefaultPolicy is the policy of a zero Config.
const DefaultPolicy = Slack

func (p Policy) isKnown() bool {
	switch p {
	case RoundRobin, LeastRequests, Predicted, PredictedCached, Slack:
		return true
	default:
		return false
	}
}

func (p Policy) usesCaches() bool {
	return p == PredictedCached || p == Slack
}
