package dispatch

// TakeOverAnswer answers Core.TakeOver.
type TakeOverAnswer struct {
	// Token is that of the call.
	Token uint64
	// Taken is true when the answer is owed here from now on.
	Taken bool
	// Adopted is true when an Adopt came before.
	Adopted bool
}

func (TakeOverAnswer) isAction() {}
