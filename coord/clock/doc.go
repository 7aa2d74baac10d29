// Package clock provides monotonic time as a value that callers pass in, so that
// code that depends on time can be tested at any instant.
package clock
