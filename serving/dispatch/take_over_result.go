package dispatch

// TakeOverResult is the result of Core.TakeOver, to be sent to the gateway that
// offered the request.
type TakeOverResult struct {
	// Token is the token that was passed to Core.TakeOver.
	Token uint64
	// Taken reports that this gateway has taken the request over.
	Taken bool
	// AnswerStarted reports that a StartAnswer for the request came before. It
	// is also set if the request could not be taken over after that.
	AnswerStarted bool
}

func (TakeOverResult) isAction() {}
