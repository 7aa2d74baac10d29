// Package requester writes and reads what callers on the users' platform say to
// the system.
package requester
