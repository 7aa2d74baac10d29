// Package collect gathers the whole answer to an HTTP call.
package collect
