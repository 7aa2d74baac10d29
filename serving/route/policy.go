package route

// Policy is the rule by which one of the available replicas is chosen.
type Policy string

// The policies.
const (
	// RoundRobin chooses the replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastRequests chooses the replica with the fewest requests in progress.
	LeastRequests Policy = "least_requests"
	// Predicted chooses the replica with the shortest predicted time to the
	// first token, regardless of prefix caches.
	Predicted Policy = "predicted"
	// PredictedCached is Predicted with the prefix caches taken into account.
	PredictedCached Policy = "predicted_cached"
	// Slack chooses the replica with the lowest cost of prefill among those
	// predicted to meet the latency target with a margin. If there is none, it
	// chooses like PredictedCached.
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
