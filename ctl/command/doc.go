// Package command implements the subcommands of sycamorectl.
//
// The commands of the operators call the controllers, and those of the callers
// call the gateways. Results go to the standard output and errors to the
// standard error. The exit status tells scripts how a command ended.
package command
