// Package logs writes one line of key=value pairs for each event.
//
// The message of a line is the stable name of the event. Prompt text and
// credentials are never logged.
package logs
