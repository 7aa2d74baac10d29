package history

// ConfirmSwitches take protections of the configuration chain away.
type ConfirmSwitches struct {
	// UnknownIsFailure takes a write of unknown outcome for one without effect.
	UnknownIsFailure bool
	// BlindHead confirms against whatever version the head has.
	BlindHead bool
	// LastWins lets followers take every configuration that they are offered.
	LastWins bool
	// UnconfirmedSpreads offers followers the configurations of plans that were
	// only proposed.
	UnconfirmedSpreads bool
}
