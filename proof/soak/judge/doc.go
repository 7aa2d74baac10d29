// Package judge compares the responses that callers received with the requests that
// upstreams have run.
package judge
