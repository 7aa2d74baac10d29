package entry

// dispatchMessage is a message to dispatch: arrive, news, callerGone,
// setCatalog, setUpstreams, confirmView, setBudget, setShares, setClock, wrapUp, stopTaking, askOpen or
// dumpDispatch.
type dispatchMessage interface {
	isDispatchMessage()
}
