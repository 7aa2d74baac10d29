// Package logs provides the programs' logger, which writes each event as one line
// of key=value pairs, and a writer that keeps a slow output from blocking the
// caller.
//
// The message of an event is its stable name, such as log_lines_dropped. Prompt
// text and credentials are never logged.
package logs
