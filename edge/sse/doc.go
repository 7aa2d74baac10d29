// Package sse splits a stream of server-sent events at event boundaries.
package sse
