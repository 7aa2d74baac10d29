package dispatch

// ConfirmCancel tells a caller that its request was canceled.
type ConfirmCancel struct {
	// Handle identifies the caller.
	Handle CallerHandle
}

func (ConfirmCancel) isAction() {}
