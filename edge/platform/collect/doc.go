// Package collect reads the whole response to an HTTP call, up to a size limit,
// and decodes JSON bodies.
package collect
