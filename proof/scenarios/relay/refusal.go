package relay

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// refusal is a response which says that the target has not run the request.
type refusal struct {
	// id is the ID of the request.
	id string
	// response is the response as it came.
	response []byte
}

// parseRefusal reports whether a piece from the target is a refusal.
func parseRefusal(piece []byte) (refusal, bool) {
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(piece)), nil)
	if err != nil {
		// It is another part of a response.
		return refusal{}, false
	}
	_ = res.Body.Close()
	if !replica.IsRefusal(res.StatusCode, res.Header) {
		return refusal{}, false
	}
	return refusal{id: replica.RequestID(res.Header), response: bytes.Clone(piece)}, true
}

// requestID returns the ID of the request that a piece to the target starts with; empty
// if there is none.
func requestID(piece []byte) string {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(piece)))
	if err != nil {
		// It is another part of a request.
		return ""
	}
	return replica.RequestID(req.Header)
}
