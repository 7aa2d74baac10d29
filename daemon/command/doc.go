// Package command implements the subcommands of sycamored: one for each role
// that it can run, and one that checks the settings of a role.
package command
