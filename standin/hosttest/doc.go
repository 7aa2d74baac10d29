// Package hosttest starts stand-ins and clients in tests.
package hosttest
