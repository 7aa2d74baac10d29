package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes to w lines of the form
// time=... level=info event=name key=value.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	console := zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp:  formatPair("time"),
		FormatLevel:      formatPair("level"),
		FormatMessage:    formatPair("event"),
		FormatFieldName:  func(v any) string { return formatValue(v) + "=" },
		FormatFieldValue: func(v any) string { return quoteIfNeeded(formatValue(v)) },
	}
	return zerolog.New(console).Level(level).With().Timestamp().Logger()
}

// formatPair returns a formatter that writes a value as key=value.
func formatPair(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + quoteIfNeeded(formatValue(v)) }
}

// formatValue returns a value as text on a single line. Strings are returned as
// they are: quoteIfNeeded escapes their line breaks.
func formatValue(v any) string {
	switch t := v.(type) {
	case nil:
		return ""
	case string:
		return t
	case []byte:
		return string(t)
	default:
		return strings.TrimSpace(strings.ReplaceAll(fmt.Sprint(t), "\n", " "))
	}
}

// quoteIfNeeded quotes an empty value, and one with spaces, equals signs, quotes
// or line breaks. A value in quotes stays as it is, because zerolog has already
// quoted it.
func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t\r") {
		if len(s) > 1 && s[0] == '"' && s[len(s)-1] == '"' {
			return s
		}
		return strconv.Quote(s)
	}
	return s
}
