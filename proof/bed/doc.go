// Package bed runs gateways and stand-ins in one process on loopback, for
// proofs and measurements that need no separate processes.
package bed
