// Package sse cuts a stream of server-sent events into whole events.
package sse
