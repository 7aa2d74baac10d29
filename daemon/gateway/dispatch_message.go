package gateway

// dispatchMessage is a message to dispatch: arrive, resume, cancel, detached,
// tokens, completed, replied, failed, written, readResult, loadReport, update,
// leave or dumpDispatch.
type dispatchMessage interface {
	isDispatchMessage()
}
