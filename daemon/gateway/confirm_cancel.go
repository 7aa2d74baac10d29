package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// confirmCancel tells a caller that its request was canceled.
type confirmCancel struct {
	handle dispatch.CallerHandle
}

func (confirmCancel) isDeliveryMessage() {}
