package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// The names of the events of a streamed answer.
const (
	// EventAccepted is the first event; its data is an AcceptedEvent.
	EventAccepted = "accepted"
	// EventPiece carries a part of the answer; its data is a PieceEvent.
	EventPiece = "piece"
	// EventEnd is the last event of a complete answer; its data is an EndEvent.
	EventEnd = "end"
	// EventFailed is the last event of an incomplete answer; its data is a Problem.
	EventFailed = "failed"
	// EventMoved is the last event from this gateway when another one takes over
	// the request; its data is a MovedEvent.
	EventMoved = "moved"
)

// StartEventStream sends the status and the header of a streamed answer.
func StartEventStream(x *httpd.Exchange) error {
	return x.StartStream(http.StatusOK, http.Header{
		"Content-Type":  {"text/event-stream"},
		"Cache-Control": {"no-store"},
	})
}

// AppendPieces appends pieces to out as events. The index of a piece is the id of
// its event.
func AppendPieces(out *bytes.Buffer, pieces []request.Piece) error {
	for _, p := range pieces {
		e := PieceEvent{Index: p.Index, Attempt: p.Attempt, Tokens: p.Tokens, Text: p.Text}
		out.WriteString("id: " + strconv.Itoa(p.Index) + "\n")
		if err := AppendEvent(out, EventPiece, e); err != nil {
			return err
		}
	}
	return nil
}

// AppendEvent appends one event to out, with data as JSON.
func AppendEvent(out *bytes.Buffer, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return &EncodeError{Err: err}
	}
	out.WriteString("event: " + name + "\ndata: ")
	out.Write(encoded)
	out.WriteString("\n\n")
	return nil
}
