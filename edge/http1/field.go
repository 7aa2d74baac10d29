package http1

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// blanks are the optional white space around the value of a field.
const blanks = " \t"

// field is one line of a head or a trailer (RFC 9112, 5).
type field struct {
	// name is in canonical form.
	name string
	// value has no white space around it.
	value string
}

// parseField parses a line without its line end. It fails with a *MalformedHeadError if
// the name is no token, if white space stands before the colon, or if the value holds a
// control byte. A value that is continued on the next line is not supported: that line
// has no name.
func parseField(line string) (field, error) {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !ok:
		return field{}, &MalformedHeadError{Detail: "a line without a colon"}
	case !httpguts.ValidHeaderFieldName(name):
		return field{}, &MalformedHeadError{Detail: "an invalid field name"}
	case !httpguts.ValidHeaderFieldValue(value):
		return field{}, &MalformedHeadError{Detail: "a control byte in the field " + name}
	default:
		return field{name: http.CanonicalHeaderKey(name), value: strings.Trim(value, blanks)}, nil
	}
}

// parseFields parses the lines of a head after its first line, without the line end of
// the last one.
func parseFields(lines string) (http.Header, error) {
	header := http.Header{}
	for len(lines) > 0 {
		line, rest, _ := strings.Cut(lines, lineEnd)
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		header[f.name] = append(header[f.name], f.value)
		lines = rest
	}
	return header, nil
}
