package http1

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

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

// isChunked reads the values of Transfer-Encoding in a message of the given minor version.
// It fails with a *CodingError for codings that end with chunked or are unknown, and with
// a *MalformedHeadError for those that no message may have.
func isChunked(values []string, minor int) (bool, error) {
	if len(values) == 0 {
		return false, nil
	}
	if minor == 0 {
		return false, &MalformedHeadError{Detail: "a transfer coding in HTTP/1.0"}
	}
	all := strings.Join(values, ",")
	if strings.EqualFold(all, "chunked") {
		return true, nil
	}
	codings := strings.Split(strings.ToLower(all), ",")
	for i, coding := range codings {
		coding = strings.Trim(coding, blanks)
		isLast := i == len(codings)-1
		if !httpguts.ValidHeaderFieldName(coding) || coding == "chunked" && !isLast {
			return false, &MalformedHeadError{Detail: "invalid transfer codings"}
		}
	}
	if strings.Trim(codings[0], blanks) == "chunked" {
		return false, &MalformedHeadError{Detail: "invalid transfer codings"}
	}
	return false, &CodingError{Coding: all}
}
