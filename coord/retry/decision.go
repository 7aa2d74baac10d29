package retry

// Decision is the decision on a failure: [Retry] or [GiveUp].
type Decision interface {
	isDecision()
}
