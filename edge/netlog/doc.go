// Package netlog writes the log messages of the nbio network library to a zerolog
// logger.
package netlog
