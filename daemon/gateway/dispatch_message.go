package gateway

// dispatchMessage is a message to dispatch: allCallersGone, askIdle,
// attemptCompleted, attemptFailed, cancelRequest, dumpDispatch, fleetUpdate,
// handOverRequests, handoverAnswered, handoverOffered, kvExported, kvFailed,
// kvImported, loadReport, peerDown, peerUp, resumeAnswer, rowRead,
// rowsWritten, serviceReplied, startDrain, submitRequest or tokensReceived.
type dispatchMessage interface {
	isDispatchMessage()
}
