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
	// Accepted is the first event.
	Accepted = "accepted"
	// PieceName is the event of a piece.
	PieceName = "piece"
	// End is the last event of a whole answer.
	End = "end"
	// Failed is the last event of an answer that did not become whole.
	Failed = "failed"
	// Moved is the last event at this gateway; another goes on.
	Moved = "moved"
)

// StartEvents sends the head of a streamed answer.
func StartEvents(x *httpd.Exchange) error {
	return x.StartStream(http.StatusOK, http.Header{
		"Content-Type":  {"text/event-stream"},
		"Cache-Control": {"no-store"},
	})
}

// AppendPieces encodes pieces as events behind what out holds.
func AppendPieces(out *bytes.Buffer, pieces []request.Piece) error {
	for _, p := range pieces {
		e := PieceEvent{Index: p.Index, Attempt: p.Attempt, Tokens: p.Tokens, Text: p.Text}
		out.WriteString("id: " + strconv.Itoa(p.Index) + "\n")
		if err := AppendEvent(out, PieceName, e); err != nil {
			return err
		}
	}
	return nil
}

// AppendEvent encodes one event behind what out holds.
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
