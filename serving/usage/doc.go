// Package usage counts the requests of each customer in time windows, and decides
// when the counts of all processes for a window are reported.
//
// Times are Unix times, as durations since the start of 1970, by the clock that
// the processes agree on. Windows are numbered from 0 at that start.
package usage
