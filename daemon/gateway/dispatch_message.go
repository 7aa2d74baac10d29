package gateway

// dispatchMessage is a message to dispatch: arrive, resume, cancel, detached,
// tokens, completed, replied, failed, exported, imported, kvFailed, written,
// readResult, loadReport, fleetUpdate, leave, handOver, peerUp, peerDown,
// takeOver, handedOver, askIdle or dumpDispatch.
type dispatchMessage interface {
	isDispatchMessage()
}
