// Package operator encodes the operators' HTTP API, for the controller that
// answers it and for the command line that calls it.
package operator
