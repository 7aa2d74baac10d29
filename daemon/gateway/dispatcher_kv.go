package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

func (d *dispatcher) exportKV(a *dispatch.Export, now clock.Instant) {
	receiver := &kvReceiver{ref: a.Ref, inbox: d.inbox}
	call, err := engine.NewExportCall(a, receiver)
	if err != nil {
		d.kvNotSent(receiver, err, now)
		return
	}
	d.startKV(call, receiver, now)
}

func (d *dispatcher) importKV(a *dispatch.Import, now clock.Instant) {
	receiver := &kvReceiver{ref: a.Ref, isImport: true, inbox: d.inbox}
	d.startKV(engine.NewImportCall(a, receiver), receiver, now)
}

// startKV starts the call of an export or import. It first reserves a slot for
// the result.
func (d *dispatcher) startKV(call *httpc.Call, receiver *kvReceiver, now clock.Instant) {
	if err := d.inbox.Reserve(); err != nil {
		d.kvNotSent(receiver, err, now)
		return
	}
	if err := d.upstream.Start(call); err != nil {
		d.inbox.Release()
		d.kvNotSent(receiver, err, now)
	}
}

func (d *dispatcher) kvNotSent(r *kvReceiver, err error, now clock.Instant) {
	failure := dispatch.Failure{Kind: dispatch.NotSent, Detail: err.Error()}
	d.kvFailed(kvFailed{ref: r.ref, isImport: r.isImport, failure: failure}, now)
}

func (d *dispatcher) kvFailed(m kvFailed, now clock.Instant) {
	if m.isImport {
		d.core.ImportFailed(m.ref, m.failure, now)
		return
	}
	d.core.ExportFailed(m.ref, m.failure, now)
}
