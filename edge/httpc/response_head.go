package httpc

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// responseHead is the head of a response.
type responseHead struct {
	statusLine
	header  http.Header
	framing framing
}

// parseHead parses the head of the response to a request with the given method, up to its
// final blank line. The parser of nbhttp is lenient where a malformed line can hide
// another one or change the length of the body, so parseHead accepts only what RFC 9112
// allows.
//
// It fails with a *MalformedHeadError, also if a second status line is in the head: a
// server that fails may send the beginning of a response that belongs to no request;
// joined to the next response it would look like one head, with the status and the fields
// of either.
func parseHead(text []byte, method string) (*responseHead, error) {
	head := strings.TrimSuffix(string(text), headEnd)
	if len(head) > 0 && containsStatusLine(head[1:]) {
		return nil, &MalformedHeadError{Detail: "a second status line"}
	}
	first, fields, _ := strings.Cut(head, lineEnd)
	line, err := parseStatusLine(first)
	if err != nil {
		return nil, err
	}
	header, err := parseFields(fields)
	if err != nil {
		return nil, err
	}
	framing, err := readFraming(method, line, header)
	if err != nil {
		return nil, err
	}
	return &responseHead{statusLine: line, header: header, framing: framing}, nil
}

// endsConnection reports whether the server closes the connection after the response.
func (h *responseHead) endsConnection() bool {
	connection := h.header["Connection"]
	if httpguts.HeaderValuesContainsToken(connection, "close") {
		return true
	}
	return h.minor == 0 && !httpguts.HeaderValuesContainsToken(connection, "keep-alive")
}

// keepAliveTimeout returns the timeout parameter of the field Keep-Alive, and false if
// there is no such field. It returns 0 if the field has no timeout.
func (h *responseHead) keepAliveTimeout() (time.Duration, bool) {
	values := h.header["Keep-Alive"]
	if len(values) == 0 {
		return 0, false
	}
	for _, part := range strings.Split(values[len(values)-1], ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, true
}
