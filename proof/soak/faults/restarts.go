package faults

// restarts tells which gateways are started anew, while the store is away.
type restarts int

// The restarts to draw from; none are more likely.
const (
	restartsOne restarts = iota
	restartsAll
	restartsNone
	restartKinds = restartsNone + 3
)
