package check

// state is the state of the model of a non-idempotent request. Answer is empty
// until a caller has got it.
type state struct {
	phase  phase
	answer string
}
