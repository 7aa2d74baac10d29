package http1

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// RequestHead is the head of a request.
type RequestHead struct {
	// Method is the method as received; names of methods are case-sensitive.
	Method string
	// Target is what the request asks for.
	Target Target
	// Host is the host that it is for, with its port if it has one.
	Host string
	// Header holds the fields but Host.
	Header http.Header
	// Framing tells where the body ends.
	Framing Framing
	// minor is the minor version of HTTP/1, 0 to 9.
	minor int
}

// parseRequestHead parses the head of a request, up to its final empty line. It fails
// with a *MalformedHeadError, a *VersionError, a *MethodError or a *CodingError.
func parseRequestHead(text []byte) (*RequestHead, error) {
	first, fields, _ := strings.Cut(strings.TrimSuffix(string(text), HeadEnd), lineEnd)
	line, err := parseRequestLine(first)
	if err != nil {
		return nil, err
	}
	target, err := parseTarget(line.method, line.target)
	if err != nil {
		return nil, err
	}
	header, err := parseFields(fields)
	if err != nil {
		return nil, err
	}
	host, err := takeHost(line, target, header)
	if err != nil {
		return nil, err
	}
	framing, err := requestFraming(line.minor, header)
	if err != nil {
		return nil, err
	}
	return &RequestHead{Method: line.method, Target: target, Host: host, Header: header, Framing: framing, minor: line.minor}, nil
}

// EndsConnection reports whether the client sends no request after this one.
func (h *RequestHead) EndsConnection() bool {
	return endsConnection(h.minor, h.Header)
}

// expectsContinue reports whether the client may wait for an interim response before it
// sends the body.
func (h *RequestHead) expectsContinue() bool {
	return h.minor > 0 && httpguts.HeaderValuesContainsToken(h.Header["Expect"], "100-continue")
}

// endsConnection reports whether a message of the given minor version is the last one of
// its connection.
func endsConnection(minor int, header http.Header) bool {
	options := header["Connection"]
	if httpguts.HeaderValuesContainsToken(options, "close") {
		return true
	}
	return minor == 0 && !httpguts.HeaderValuesContainsToken(options, "keep-alive")
}
