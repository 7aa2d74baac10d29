// Package settings reads the settings of a program from flags and environment
// variables and names everything that is wrong with them at once.
package settings
