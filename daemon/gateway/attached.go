package gateway

import (
	"bytes"

	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// attached is a caller and how much of its answer it has.
type attached struct {
	handle     dispatch.CallerHandle
	exchange   *httpd.Exchange
	id         request.ID
	streamed   bool
	isAttached bool
	next       int // index of the next piece that it gets
}

// begin sends the head of a streamed answer.
func (a *attached) begin(gateway string) error {
	if !a.streamed {
		return nil
	}
	if err := caller.StartEvents(a.exchange); err != nil {
		return err
	}
	return a.event(caller.Accepted, caller.AcceptedEvent{Key: a.id.Key, Gateway: gateway})
}

// event sends one event of a streamed answer.
func (a *attached) event(name string, data any) error {
	var out bytes.Buffer
	if err := caller.AppendEvent(&out, name, data); err != nil {
		return err
	}
	return a.exchange.WriteStream(out.Bytes())
}

// pieces sends the pieces of a streamed answer that the caller lacks.
func (a *attached) pieces(k *kept) error {
	list := k.log.From(a.next)
	if !a.streamed || len(list) == 0 {
		return nil
	}
	var out bytes.Buffer
	if err := caller.AppendPieces(&out, list); err != nil {
		return err
	}
	a.next = k.log.Len()
	return a.exchange.WriteStream(out.Bytes())
}
