package history

// AttemptSwitches take protections of attempts away.
type AttemptSwitches struct {
	// NoDeadline hands the instant of the claim's start to every check.
	NoDeadline bool
	// NoReadBack takes a write of unknown outcome for done.
	NoReadBack bool
	// RefusalDeletes deletes the row of a request that is refused.
	RefusalDeletes bool
	// TakeOver lets a duplicate take the claim of a dead holder over and send.
	TakeOver bool
	// FormerSends lets the former holder send after a hand-over.
	FormerSends bool
	// NoSettleWait settles claims at once.
	NoSettleWait bool
	// UnknownIsNotRun calls a request refused whose outcome is unknown.
	UnknownIsNotRun bool
}
