package http1

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// versionBytes is the length of a version, HTTP/ and two digits around a point.
const versionBytes = len("HTTP/1.1")

// requestLine is the first line of a request (RFC 9112, 3).
type requestLine struct {
	method, target string
	// minor is the minor version of HTTP/1, 0 to 9.
	minor int
}

// parseRequestLine parses a request line without its line end. It fails with a
// *MalformedHeadError, a *VersionError or a *MethodError.
func parseRequestLine(line string) (requestLine, error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) || target == "" {
		return requestLine{}, &MalformedHeadError{Detail: "no request line"}
	}
	if !isVersion(version) {
		return requestLine{}, &MalformedHeadError{Detail: "no version"}
	}
	if !strings.HasPrefix(version, versionPrefix) {
		return requestLine{}, &VersionError{Version: version}
	}
	if method == "CONNECT" {
		return requestLine{}, &MethodError{Method: method}
	}
	return requestLine{method: method, target: target, minor: int(version[versionBytes-1] - '0')}, nil
}

// isVersion reports whether a text is an HTTP version, of any major one.
func isVersion(text string) bool {
	return len(text) == versionBytes && strings.HasPrefix(text, "HTTP/") &&
		isDigit(text[5]) && text[6] == '.' && isDigit(text[7])
}
