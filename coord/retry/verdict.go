package retry

// Verdict is the decision on a failure: [Retry] or [GiveUp].
type Verdict interface {
	isVerdict()
}
