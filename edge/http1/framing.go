package http1

import "net/http"

// Framing tells where the body of a message ends (RFC 9112, 6.3).
type Framing struct {
	// Kind says how its end is found.
	Kind FramingKind
	// Length is the number of bytes of a sized body, at least 1.
	Length int
}

// requestFraming reads the framing of a request. It fails with a *MalformedHeadError or a
// *CodingError if the head does not tell beyond doubt where the body ends.
func requestFraming(minor int, header http.Header) (Framing, error) {
	length, hasLength, err := contentLength(header["Content-Length"])
	if err != nil {
		return Framing{}, err
	}
	chunked, err := isChunked(header["Transfer-Encoding"], minor)
	switch {
	case err != nil:
		return Framing{}, err
	case chunked && hasLength:
		return Framing{}, &MalformedHeadError{Detail: "a length beside chunks"}
	case chunked:
		return Framing{Kind: ChunkedBody}, nil
	case length == 0:
		return Framing{Kind: NoBody}, nil
	default:
		return Framing{Kind: SizedBody, Length: length}, nil
	}
}

// responseFraming reads the framing of the response to a request with the given method. It
// fails with a *MalformedHeadError or a *CodingError if the head does not tell beyond doubt
// where the body ends.
func responseFraming(method string, line StatusLine, header http.Header) (Framing, error) {
	length, hasLength, err := contentLength(header["Content-Length"])
	if err != nil {
		return Framing{}, err
	}
	chunked, err := isChunked(header["Transfer-Encoding"], line.Minor)
	if err != nil {
		return Framing{}, err
	}
	mayHaveCoding := !line.IsInterim() && line.Status != http.StatusNoContent
	switch {
	case chunked && hasLength:
		return Framing{}, &MalformedHeadError{Detail: "a length beside chunks"}
	case !mayHaveCoding && (chunked || length > 0):
		return Framing{}, &MalformedHeadError{Detail: "a body that the status excludes"}
	case !mayHaveCoding, line.Status == http.StatusNotModified, method == http.MethodHead:
		// The length or the chunks are those of a body that is not sent.
		return Framing{Kind: NoBody}, nil
	case chunked:
		return Framing{Kind: ChunkedBody}, nil
	case !hasLength:
		return Framing{Kind: CloseDelimitedBody}, nil
	case length == 0:
		return Framing{Kind: NoBody}, nil
	default:
		return Framing{Kind: SizedBody, Length: length}, nil
	}
}
