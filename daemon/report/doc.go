// Package report shows what a process is doing: its metrics, and on request a
// dump of its state, which each duty gives for the part that it owns.
package report
