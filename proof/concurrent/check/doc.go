// Package check compares what callers were told with what upstreams ran.
package check
