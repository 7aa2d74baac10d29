package replica

import "net/http"

// RequestID returns the ID of a request, or the ID that a response repeats.
func RequestID(header http.Header) string { return header.Get("Attempt-Id") }

// IsRefusal reports whether a response says that the request has not run: the replica had
// no room for it, or it is another instance than the one expected.
func IsRefusal(status int, header http.Header) bool {
	if status == http.StatusMisdirectedRequest {
		return true
	}
	return status == http.StatusServiceUnavailable && header.Get("Not-Executed") != ""
}
