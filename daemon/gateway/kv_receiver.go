package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// kvReceiver offers the result of an export or import to dispatch, in a slot
// reserved for it. It implements engine.KVReceiver.
type kvReceiver struct {
	ref      dispatch.StreamRef
	isImport bool
	inbox    *ring.Ring[dispatchMessage]
}

// Exported implements engine.KVReceiver.
func (r *kvReceiver) Exported(cache []byte) {
	_ = r.inbox.OfferReserved(kvExported{ref: r.ref, cache: cache})
}

// Imported implements engine.KVReceiver.
func (r *kvReceiver) Imported(handle string) {
	_ = r.inbox.OfferReserved(kvImported{ref: r.ref, handle: handle})
}

// KVFailed implements engine.KVReceiver.
func (r *kvReceiver) KVFailed(failure dispatch.Failure) {
	_ = r.inbox.OfferReserved(kvFailed{ref: r.ref, isImport: r.isImport, failure: failure})
}
