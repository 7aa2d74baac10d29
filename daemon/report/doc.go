// Package report serves the health, the metrics and the state dump of a process
// over HTTP. The dump consists of one section for each duty, which the duty
// itself fills in, so that no state is read by a thread that does not own it.
package report
