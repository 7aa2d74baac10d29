// Package release holds the version of the programs and the command that prints
// it.
package release
