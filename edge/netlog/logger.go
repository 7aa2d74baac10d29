package netlog

import (
	"fmt"
	"strings"

	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"
)

// Logger implements the logging.Logger of nbio. It writes warnings and errors as
// the events net_warn and net_error, and drops messages of lower levels.
type Logger struct {
	log zerolog.Logger
}

// Install makes nbio log to log. It applies to all engines of the process.
func Install(log zerolog.Logger) {
	logging.SetLogger(&Logger{log: log})
}

// SetLevel implements logging.Logger. It does nothing: the level of the zerolog
// logger applies.
func (*Logger) SetLevel(int) {}

// Debug implements logging.Logger.
func (*Logger) Debug(string, ...any) {}

// Info implements logging.Logger.
func (*Logger) Info(string, ...any) {}

// Warn implements logging.Logger.
func (l *Logger) Warn(format string, v ...any) {
	l.log.Warn().Str("detail", oneLine(format, v)).Msg("net_warn")
}

// Error implements logging.Logger.
func (l *Logger) Error(format string, v ...any) {
	l.log.Error().Str("detail", oneLine(format, v)).Msg("net_error")
}

// oneLine formats a message and collapses white space, including line breaks.
func oneLine(format string, v []any) string {
	return strings.Join(strings.Fields(fmt.Sprintf(format, v...)), " ")
}
