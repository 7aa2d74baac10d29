package http1

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ResponseHead is the head of a response.
type ResponseHead struct {
	StatusLine
	// Header holds the fields.
	Header http.Header
	// Framing tells where the body ends.
	Framing Framing
}

// ParseResponseHead parses the head of the response to a request with the given method, up
// to its final empty line.
//
// It fails with a *MalformedHeadError, a *StatusError or a *CodingError, also if a second status line is in the head: a
// server that fails may send the beginning of a response that belongs to no request;
// joined to the next response it would look like one head, with the status and the fields
// of either.
func ParseResponseHead(text []byte, method string) (*ResponseHead, error) {
	head := strings.TrimSuffix(string(text), HeadEnd)
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
	framing, err := responseFraming(method, line, header)
	if err != nil {
		return nil, err
	}
	return &ResponseHead{StatusLine: line, Header: header, Framing: framing}, nil
}

// EndsConnection reports whether the server closes the connection after the response.
func (h *ResponseHead) EndsConnection() bool {
	return endsConnection(h.Minor, h.Header)
}

// KeepAliveTimeout returns the timeout parameter of the field Keep-Alive, and false if
// there is no such field. It returns 0 if the field has no timeout.
func (h *ResponseHead) KeepAliveTimeout() (time.Duration, bool) {
	values := h.Header["Keep-Alive"]
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
