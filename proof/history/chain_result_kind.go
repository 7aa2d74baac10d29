package history

// chainResultKind is the kind of an outcome.
type chainResultKind uint8

const (
	tookEffect chainResultKind = iota
	conflicted
	noEffect
)
