package gateway

// dispatchMessage is a message to dispatch: arrive, resume, cancel, detached,
// tokens, completed, replied, failed, exported, imported, kvFailed, written,
// readResult, loadReport, fleetUpdate, leave, askIdle or dumpDispatch.
type dispatchMessage interface {
	isDispatchMessage()
}
