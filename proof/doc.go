// Package proof is the root of the scenarios, history checks and benchmarks.
package proof
