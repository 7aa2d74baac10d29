// Package serving is the root of the decisions of the system: values and
// functions of state, event and time. Nothing below it knows a network, an
// encoding or the wall clock.
package serving
