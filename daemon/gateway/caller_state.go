package gateway

import (
	"bytes"

	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// callerState is the exchange of a caller and how much of the answer it has
// been sent.
type callerState struct {
	handle     dispatch.CallerHandle
	exchange   *httpd.Exchange
	id         request.ID
	streamed   bool
	isAttached bool
	nextPiece  int // index of the next piece to send
}

// startStream sends the head and the first event of a streamed answer. It does
// nothing for a caller that wants the answer as a whole.
func (c *callerState) startStream(gateway string) error {
	if !c.streamed {
		return nil
	}
	if err := caller.StartEvents(c.exchange); err != nil {
		return err
	}
	return c.sendEvent(caller.Accepted, caller.AcceptedEvent{Key: c.id.Key, Gateway: gateway})
}

// sendEvent sends one event of a streamed answer.
func (c *callerState) sendEvent(name string, data any) error {
	var out bytes.Buffer
	if err := caller.AppendEvent(&out, name, data); err != nil {
		return err
	}
	return c.exchange.WriteStream(out.Bytes())
}

// sendPieces sends the pieces of a streamed answer that the caller does not
// have yet.
func (c *callerState) sendPieces(b *bufferedAnswer) error {
	list := b.log.From(c.nextPiece)
	if !c.streamed || len(list) == 0 {
		return nil
	}
	var out bytes.Buffer
	if err := caller.AppendPieces(&out, list); err != nil {
		return err
	}
	c.nextPiece = b.log.Len()
	return c.exchange.WriteStream(out.Bytes())
}
