// Package follow runs the duty that knows what all processes must know: the
// newest confirmed configuration, the fleet and the members. It passes news on
// to the linked processes and delivers what has changed to its owner.
//
// The decisions are those of package spread; this package gives it events and
// the time, and carries out its actions.
package follow
