package http1

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// areExtensions reports whether a text is a list of chunk extensions, without the first
// semicolon: names, each with a token or a quoted string as its value or with none.
func areExtensions(text string) bool {
	for {
		name, rest := cutToken(strings.TrimLeft(text, blanks))
		if name == "" {
			return false
		}
		rest = strings.TrimLeft(rest, blanks)
		if value, ok := strings.CutPrefix(rest, "="); ok {
			if rest, ok = cutValue(strings.TrimLeft(value, blanks)); !ok {
				return false
			}
			rest = strings.TrimLeft(rest, blanks)
		}
		if rest == "" {
			return true
		}
		next, ok := strings.CutPrefix(rest, ";")
		if !ok {
			return false
		}
		text = next
	}
}

// cutValue returns what follows the token or the quoted string that a text starts with,
// and false if it starts with neither.
func cutValue(text string) (string, bool) {
	if !strings.HasPrefix(text, `"`) {
		token, rest := cutToken(text)
		return rest, token != ""
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return text[i+1:], httpguts.ValidHeaderFieldValue(text[:i])
		case '\\':
			i++
		}
	}
	return "", false
}

// cutToken splits a text after the token that it starts with.
func cutToken(text string) (token, rest string) {
	end := strings.IndexFunc(text, func(r rune) bool { return !httpguts.IsTokenRune(r) })
	if end < 0 {
		return text, ""
	}
	return text[:end], text[end:]
}
