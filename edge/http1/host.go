package http1

import (
	"net/http"
	"net/netip"
	"strings"
)

// readHost reads the values of the field Host in a request of the given minor version. It
// fails with a *MalformedHeadError if there are several, or none in HTTP/1.1 or later.
func readHost(values []string, minor int) (string, error) {
	switch {
	case len(values) > 1:
		return "", &MalformedHeadError{Detail: "two hosts"}
	case len(values) == 1 && !isHost(values[0]):
		return "", &MalformedHeadError{Detail: "an invalid host"}
	case len(values) == 1:
		return values[0], nil
	case minor == 0:
		return "", nil
	default:
		return "", &MalformedHeadError{Detail: "no host"}
	}
}

// takeHost removes the field Host from a header and returns the host that a request is
// for.
func takeHost(line requestLine, target Target, header http.Header) (string, error) {
	host, err := readHost(header["Host"], line.minor)
	delete(header, "Host")
	if target.authority != "" {
		host = target.authority
	}
	return host, err
}

// isHost reports whether a text is a name or an address, with a port or without one
// (RFC 3986, 3.2.2), or empty.
func isHost(text string) bool {
	if literal, ok := strings.CutPrefix(text, "["); ok {
		address, port, ok := strings.Cut(literal, "]")
		ip, err := netip.ParseAddr(address)
		return ok && err == nil && ip.Is6() && ip.Zone() == "" && isPort(port)
	}
	name, port := text, ""
	if at := strings.IndexByte(text, ':'); at >= 0 {
		name, port = text[:at], text[at:]
	}
	for i := range len(name) {
		if !isHostByte(name[i]) {
			return false
		}
	}
	return isPort(port)
}

// isPort reports whether a text is a colon with a port, which may be empty, or nothing.
func isPort(text string) bool {
	return text == "" || text[0] == ':' && strings.Trim(text[1:], "0123456789") == ""
}

// isHostByte reports whether a byte may be in a name or an address.
func isHostByte(c byte) bool {
	return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80 || strings.IndexByte("-._~!$&'()*+;=", c) >= 0
}
