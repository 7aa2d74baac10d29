// Package settings reads and validates the settings of a command.
//
// A flag takes precedence over its environment variable, and the variable over
// the default. Load reports all invalid settings in one error.
package settings
