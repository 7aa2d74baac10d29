package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New makes a log that writes lines of the form
// time=... level=info event=name key=value to w.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	console := zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp:  pair("time"),
		FormatLevel:      pair("level"),
		FormatMessage:    pair("event"),
		FormatFieldName:  func(v any) string { return text(v) + "=" },
		FormatFieldValue: func(v any) string { return quote(text(v)) },
	}
	return zerolog.New(console).Level(level).With().Timestamp().Logger()
}

func pair(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + quote(text(v)) }
}

func text(v any) string {
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

// quote quotes a value that would not be one word of the line.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t\r") {
		if len(s) > 1 && s[0] == '"' && s[len(s)-1] == '"' {
			return s
		}
		return strconv.Quote(s)
	}
	return s
}
