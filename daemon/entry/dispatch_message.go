package entry

// dispatchMessage is a message to the dispatch duty: requestArrived,
// *attemptUpdate, callerGone, setCatalog, setUpstreams, confirmUpstreams,
// setRetryBudget, setDivision, mergeEvidence, inheritUse, setClockOffset,
// limitAsked, limitAnswered, useTold, useHeard,
// limitsStored, setRollouts, hearRollouts, closeConnections, stopAccepting, countOpenRequests or
// dumpDispatch.
type dispatchMessage interface {
	isDispatchMessage()
}
