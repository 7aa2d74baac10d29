package history

// requestState is the state of one key in the model of a request.
type requestState struct {
	runs    int
	runOf   int    // submission that ran
	refused uint64 // set of submissions that were refused
	settled uint32 // highest attempt that no run may start of
}

// step returns the state after an operation and reports whether the operation
// is allowed.
func (s requestState) step(op requestOp, result requestResult) (bool, requestState) {
	mark := uint64(1) << op.submission
	switch {
	case op.isRun:
		allowed := s.runs == 0 && s.refused&mark == 0 && op.attempt > s.settled
		s.runs++
		s.runOf = op.submission
		return allowed, s
	case result.kind == completed:
		return s.runs == 1, s
	case result.kind == refused:
		allowed := s.runs == 0 || !result.keyChecked && s.runOf != op.submission
		s.refused |= mark
		return allowed, s
	case result.kind == settled:
		s.settled = max(s.settled, result.attempt)
		return true, s
	default:
		return true, s
	}
}
