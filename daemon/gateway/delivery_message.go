package gateway

// deliveryMessage is a message to delivery: acceptCaller, attachCaller,
// callerGone, confirmCancel, deliverPieces, dumpDelivery, finishAnswer,
// forgetAnswer, redirectCallers, refuseCaller, registerCaller, restoreAnswer,
// setAddresses or startAnswer.
type deliveryMessage interface {
	isDeliveryMessage()
}
