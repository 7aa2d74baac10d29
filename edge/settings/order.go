package settings

import "time"

// order says that one time span must be at least another.
type order struct {
	low      *time.Duration
	lowFlag  string
	high     *time.Duration
	highFlag string
}
