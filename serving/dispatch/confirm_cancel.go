package dispatch

// ConfirmCancel tells a caller that its request was canceled.
type ConfirmCancel struct {
	// Handle is the caller.
	Handle Handle
}

func (ConfirmCancel) isAction() {}
