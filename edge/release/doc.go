// Package release holds the version of the programs and the subcommand that
// prints it.
package release
