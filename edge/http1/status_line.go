package http1

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// versionPrefix begins the status line of each response, before the minor version.
	versionPrefix = "HTTP/1."
	// statusLineBytes is the length of a status line without a reason phrase.
	statusLineBytes = len("HTTP/1.1 200 ")
	// minStatus and maxStatus bound the statuses that a response can have.
	minStatus = 100
	maxStatus = 599
)

// StatusLine is the first line of a response (RFC 9112, 4).
type StatusLine struct {
	// Minor is the minor version of HTTP/1, 0 to 9.
	Minor int
	// Status is the three-digit status.
	Status int
}

// parseStatusLine parses a status line without its line end. It fails with a
// *MalformedHeadError, or with a *StatusError if no response can have that status. The
// reason phrase may be empty, the space before it may not be missing.
func parseStatusLine(line string) (StatusLine, error) {
	if len(line) < statusLineBytes || !startsWithStatus(line) || line[statusLineBytes-1] != ' ' {
		return StatusLine{}, &MalformedHeadError{Detail: "no status line"}
	}
	if !httpguts.ValidHeaderFieldValue(line[statusLineBytes:]) {
		return StatusLine{}, &MalformedHeadError{Detail: "a control byte in the reason phrase"}
	}
	version := len(versionPrefix)
	status, err := strconv.Atoi(line[version+2 : version+5])
	if err != nil {
		return StatusLine{}, &MalformedHeadError{Detail: "no status"}
	}
	if !isPossibleStatus(status) {
		return StatusLine{}, &StatusError{Status: status}
	}
	return StatusLine{Minor: int(line[version] - '0'), Status: status}, nil
}

// isPossibleStatus reports whether a response can have a status. No request of ours
// asks for another protocol, so that none is answered by 101.
func isPossibleStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// IsInterim reports whether another response to the same request follows.
func (l StatusLine) IsInterim() bool { return l.Status < http.StatusOK }

// startsWithStatus reports whether a text starts with a version and a status.
func startsWithStatus(text string) bool {
	version := len(versionPrefix)
	if len(text) < version+len("1 200") || !strings.HasPrefix(text, versionPrefix) {
		return false
	}
	status := text[version+2 : version+5]
	return isDigit(text[version]) && text[version+1] == ' ' &&
		isDigit(status[0]) && isDigit(status[1]) && isDigit(status[2])
}

// containsStatusLine reports whether a status line starts anywhere in a text, with a
// reason phrase or without one.
func containsStatusLine(text string) bool {
	for {
		at := strings.Index(text, versionPrefix)
		if at < 0 {
			return false
		}
		if startsWithStatus(text[at:]) {
			return true
		}
		text = text[at+1:]
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
