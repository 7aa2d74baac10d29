package httpc

import "bytes"

var (
	// statusLineStart begins the status line of each response, before the minor
	// version.
	statusLineStart = []byte("HTTP/1.")
	// foldedLine continues the header field of the line before (RFC 9112, 5.2). It is
	// obsolete and not supported.
	foldedLine = []byte("\r\n ")
	foldedTab  = []byte("\r\n\t")
)

const (
	// statusBytes is the length of a status line up to the end of the status, and
	// statusLineBytes that up to the space after it.
	statusBytes     = len("HTTP/1.1 200")
	statusLineBytes = statusBytes + len(" ")
)

// checkHead checks what the parser does not: that a head starts with a status line, and
// that no second one is in it. A server that fails may send the beginning of a response
// that belongs to no request; joined to the next response it would look like one head,
// with the status and the fields of either.
func checkHead(head []byte) error {
	switch {
	case !isStatusLine(head):
		return &MalformedHeadError{Detail: "no status line"}
	case containsStatusLine(head[1:]):
		return &MalformedHeadError{Detail: "a second status line"}
	case bytes.Contains(head, foldedLine), bytes.Contains(head, foldedTab):
		return &MalformedHeadError{Detail: "a folded line"}
	default:
		return nil
	}
}

// containsStatusLine reports whether a status line starts anywhere in a text, with a
// reason phrase or without one.
func containsStatusLine(text []byte) bool {
	for {
		at := bytes.Index(text, statusLineStart)
		if at < 0 {
			return false
		}
		if startsWithStatus(text[at:]) {
			return true
		}
		text = text[at+1:]
	}
}

// isStatusLine reports whether a text starts with a version, a status and the first
// letter of a reason phrase. The parser does not support an empty reason phrase.
func isStatusLine(text []byte) bool {
	return startsWithStatus(text) && len(text) > statusLineBytes &&
		text[statusLineBytes-1] == ' ' && isLetter(text[statusLineBytes])
}

// startsWithStatus reports whether a text starts with a version and a status.
func startsWithStatus(text []byte) bool {
	version := len(statusLineStart)
	if len(text) < statusBytes || !bytes.HasPrefix(text, statusLineStart) {
		return false
	}
	status := text[version+2 : version+5]
	return isDigit(text[version]) && text[version+1] == ' ' &&
		isDigit(status[0]) && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool { return c|0x20 >= 'a' && c|0x20 <= 'z' }
