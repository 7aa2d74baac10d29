// Package schedule switches the faults of stand-ins on and off, at times that a
// seed fixes.
package schedule
