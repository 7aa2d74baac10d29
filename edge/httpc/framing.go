package httpc

import (
	"net/http"
	"strconv"
	"strings"
)

// framing tells where the body of a response ends (RFC 9112, 6.3).
type framing struct {
	kind framingKind
	// length is the number of bytes of a sized body, at least 1.
	length int
}

// readFraming reads the framing of the response to a request with the given method. It
// fails with a *MalformedHeadError if the head does not tell beyond doubt where the body
// ends.
func readFraming(method string, line statusLine, header http.Header) (framing, error) {
	length, hasLength, err := contentLength(header["Content-Length"])
	if err != nil {
		return framing{}, err
	}
	chunked, err := isChunked(header["Transfer-Encoding"], line)
	if err != nil {
		return framing{}, err
	}
	mayHaveCoding := !line.isInterim() && line.status != http.StatusNoContent
	switch {
	case chunked && hasLength:
		return framing{}, &MalformedHeadError{Detail: "a length beside chunks"}
	case !mayHaveCoding && (chunked || length > 0):
		return framing{}, &MalformedHeadError{Detail: "a body that the status excludes"}
	case !mayHaveCoding, line.status == http.StatusNotModified, method == http.MethodHead:
		// The length or the chunks are those of a body that is not sent.
		return framing{kind: noBody}, nil
	case chunked:
		return framing{kind: chunkedFraming}, nil
	case !hasLength:
		return framing{kind: closeDelimitedFraming}, nil
	case length == 0:
		return framing{kind: noBody}, nil
	default:
		return framing{kind: sizedFraming, length: length}, nil
	}
}

// contentLength reads the values of Content-Length, and returns false if there are none.
// The field may be repeated, or be a list, with one and the same length.
func contentLength(values []string) (length int, ok bool, err error) {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			n, err := strconv.ParseUint(strings.Trim(part, blanks), 10, strconv.IntSize-1)
			if err != nil {
				return 0, false, &MalformedHeadError{Detail: "an invalid length"}
			}
			if ok && int(n) != length {
				return 0, false, &MalformedHeadError{Detail: "two lengths"}
			}
			length, ok = int(n), true
		}
	}
	return length, ok, nil
}

// isChunked reads the values of Transfer-Encoding. Requests ask for no other coding than
// chunked, so that no response may have one.
func isChunked(values []string, line statusLine) (bool, error) {
	switch {
	case len(values) == 0:
		return false, nil
	case len(values) > 1 || !strings.EqualFold(values[0], "chunked"):
		return false, &MalformedHeadError{Detail: "an unknown transfer coding"}
	case line.minor == 0:
		return false, &MalformedHeadError{Detail: "chunks in HTTP/1.0"}
	default:
		return true, nil
	}
}
