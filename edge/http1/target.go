package http1

import (
	"net/http"
	"net/url"
	"strings"
)

// Target is what a request asks for (RFC 9112, 3.2).
type Target struct {
	// Text is the path with the query, as received; * for all of the server.
	Text string
	// Path is the path with its percent-encoded bytes decoded.
	Path string
	// RoutePath is the same but for segments that would hold a slash then, which stay as
	// they were sent: a server that gets Text finds no further segment there.
	RoutePath string
	// Query is the query as received, without the question mark.
	Query string
	// authority is the host of a target in absolute form, which goes before the field
	// Host; empty in the other forms.
	authority string
}

// parseTarget parses the target of a request with the given method. It fails with a
// *MalformedHeadError.
func parseTarget(method, text string) (Target, error) {
	if !hasTargetBytes(text) {
		return Target{}, &MalformedHeadError{Detail: "an invalid byte in the target"}
	}
	if text == "*" && method == http.MethodOptions {
		return Target{Text: text, Path: text, RoutePath: text}, nil
	}
	t := Target{Text: text}
	if !strings.HasPrefix(text, "/") {
		var ok bool
		if t.authority, t.Text, ok = cutAbsolute(text); !ok {
			return Target{}, &MalformedHeadError{Detail: "an invalid target"}
		}
	}
	var path string
	path, t.Query, _ = strings.Cut(t.Text, "?")
	var err error
	if t.Path, err = url.PathUnescape(path); err != nil {
		return Target{}, &MalformedHeadError{Detail: "an invalid path"}
	}
	t.RoutePath = decodeSegments(path)
	return t, nil
}

// hasTargetBytes reports whether a target holds only bytes that may be in one. A fragment
// is none of it, and a backslash could be taken for a slash.
func hasTargetBytes(text string) bool {
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c == 0x7f || c == '#' || c == '\\' {
			return false
		}
	}
	return true
}

// cutAbsolute splits a target in absolute form into its authority, and its path with the
// query. It returns false for any other text.
func cutAbsolute(text string) (authority, path string, ok bool) {
	scheme, rest, ok := strings.Cut(text, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", "", false
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority, path = rest[:end], rest[end:]
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return authority, path, authority != "" && isHost(authority)
}

// decodeSegments returns Target.RoutePath for a path that can be decoded.
func decodeSegments(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if decoded, err := url.PathUnescape(segment); err == nil && !strings.Contains(decoded, "/") {
			segments[i] = decoded
		}
	}
	return strings.Join(segments, "/")
}
