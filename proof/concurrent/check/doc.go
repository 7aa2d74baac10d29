// Package check compares the responses that callers received with the audit logs of
// the upstreams.
package check
