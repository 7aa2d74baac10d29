// Package bench measures the admission and routing policies on a deterministic
// model in virtual time: several gateways, each with its own Router and Queue,
// before engines that batch continuously and cache prefixes in limited memory.
package bench
