// Package witness gathers what upstreams say that they ran.
package witness
