// Package witness reads the audit logs of the upstreams: the requests that they ran.
package witness
