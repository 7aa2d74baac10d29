package netlog

import (
	"fmt"
	"strings"

	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"
)

// Logger passes warnings and errors of the network library on as events
// net_warn and net_error. It drops the lower levels.
type Logger struct {
	log zerolog.Logger
}

// Install makes log the destination of the network library's messages.
func Install(log zerolog.Logger) {
	logging.SetLogger(&Logger{log: log})
}

// SetLevel implements logging.Logger. The level is that of our own log.
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

func oneLine(format string, v []any) string {
	return strings.Join(strings.Fields(fmt.Sprintf(format, v...)), " ")
}
