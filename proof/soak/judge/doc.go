// Package judge checks what callers were told against what upstreams have run.
package judge
