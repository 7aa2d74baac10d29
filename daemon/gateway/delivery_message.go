package gateway

// deliveryMessage is a message to delivery: openCaller, acceptCaller,
// attachCaller, refuseCaller, confirmCancel, deliverPieces, finishAnswer,
// forgetAnswer, adoptAnswer, recallAnswer, moveAnswer, callerGone, setAddresses
// or dumpDelivery.
type deliveryMessage interface {
	isDeliveryMessage()
}
