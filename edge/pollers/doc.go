// Package pollers waits until the pollers of the network library run.
package pollers
