package settings

import "time"

// durationConstraint requires that one duration is at least another.
type durationConstraint struct {
	low      *time.Duration
	lowFlag  string
	high     *time.Duration
	highFlag string
}
