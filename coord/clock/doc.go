// Package clock gives monotonic time as a value that is handed in, so that
// decisions can be run and tested at any time.
package clock
