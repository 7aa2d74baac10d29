// Package health ejects failing replicas from load balancing and readmits them
// with a slow start.
//
// # Invariants
//
//   - A replica is not ejected if the share of ejected replicas in its Group
//     would then exceed MaxEjectedShare.
//   - After an ejection, a replica gets a single attempt as a probe, and more
//     once that has succeeded.
package health
